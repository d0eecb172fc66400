"""Outcomes of the task that ran under a slot lease."""

import enum


class SlotOutcome(enum.IntEnum):
    """Outcome that the holder of a slot lease reports when it releases the lease."""

    RAN = 0
    RAN_FAILED = 1
    NOT_STARTED = 2
    UNSENT = 3
    LOST = 4
    CHECKPOINTED = 5
    UNUSED = 6
    STOPPED = 7
    WRONG_ANSWER = 8
    TIMED_OUT = 9


BAD_OUTCOMES = frozenset(
    {
        SlotOutcome.RAN_FAILED,
        SlotOutcome.LOST,
        SlotOutcome.UNSENT,
        SlotOutcome.WRONG_ANSWER,
        SlotOutcome.TIMED_OUT,
    }
)
