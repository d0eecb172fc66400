"""Outcomes of the attempt to send a start to a host."""

import enum


class StartOutcome(enum.Enum):
    """Outcome of one attempt to send a start.

    SETTLED: the sender has nothing left to do for the run.  UNANSWERED: the host may have
    executed the start or may do so later.  UNSENT: the start did not reach the host.
    GIVEN_UP: the host rejected the start but may still execute an earlier one, so the run must
    be stopped.  WITHHELD: the start was not sent, because the host's hall is evacuated.
    """

    SETTLED = "settled"
    UNANSWERED = "unanswered"
    UNSENT = "unsent"
    GIVEN_UP = "given up"
    WITHHELD = "withheld"
