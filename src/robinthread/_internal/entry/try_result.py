"""What one try on a worker came to."""

from dataclasses import dataclass

from robinthread._internal.dispatch.slot_outcome import SlotOutcome
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class TryResult:
    """A try's outcome for the dispatcher, its code for the caller, and the answer."""

    outcome: SlotOutcome
    code: ResultCode
    body: bytes = b""
