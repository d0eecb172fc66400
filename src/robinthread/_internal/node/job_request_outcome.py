"""Outcomes of callers' requests for jobs."""

import enum
from dataclasses import dataclass


class JobRequestOutcome(enum.Enum):
    """Outcome of a caller's request for a job.

    REFUSED: the record was not appended, so the request has no effect, now or later.
    OWNER_UNREACHABLE: the pool's owner did not respond, so the job's state is unknown.
    UNKNOWN: an append or its relay had no response, so the request may or may not take effect.
    ID_TAKEN: a job of another workspace has this id.
    TOO_LARGE: the store has no room for the request's record, now or later.
    """

    DONE = "done"
    REFUSED = "refused"
    OWNER_UNREACHABLE = "owner unreachable"
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no such job"
    ID_TAKEN = "id taken"
    TOO_LARGE = "too large"


@dataclass(frozen=True, slots=True)
class JobRequestResult:
    """Outcome of a request; ``retry_after_s`` is when to retry a refused one, 0 if unknown."""

    outcome: JobRequestOutcome
    retry_after_s: float = 0.0
