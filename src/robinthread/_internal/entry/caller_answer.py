"""The answer to a caller's request."""

from dataclasses import dataclass

from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class CallerAnswer:
    """The final answer to a request; ``retry_after_s`` is 0 if no retry time is given."""

    code: ResultCode
    body: bytes = b""
    retry_after_s: float = 0.0
