"""An answer to a caller."""

from dataclasses import dataclass

from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class CallerAnswer:
    """The final answer to a request; ``retry_after_s`` is zero where none is told."""

    code: ResultCode
    body: bytes = b""
    retry_after_s: float = 0.0
