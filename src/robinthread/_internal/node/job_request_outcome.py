"""How a caller's request ends."""

import enum


class JobRequestOutcome(enum.Enum):
    """Outcome of a caller's request.

    REFUSED: the store does not take it, so it has not run and will not.
    OWNER_UNREACHABLE: what is asked for cannot be told now.
    ID_TAKEN: the id is that of another workspace's job.
    """

    DONE = "done"
    REFUSED = "refused"
    OWNER_UNREACHABLE = "owner unreachable"
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no such job"
    ID_TAKEN = "id taken"
