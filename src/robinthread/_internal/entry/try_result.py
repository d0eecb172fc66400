"""Result of one try of a request on a worker."""

from dataclasses import dataclass

from robinthread._internal.dispatch.slot_outcome import SlotOutcome
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class TryResult:
    """A try's outcome for the dispatcher, its result code for the caller, and the body.

    ``body`` is the worker's answer, or the checkpoint of an interrupted task.
    """

    outcome: SlotOutcome
    code: ResultCode
    body: bytes = b""
