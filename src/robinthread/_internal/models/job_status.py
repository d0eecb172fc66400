"""Status of a job as reported to its caller."""

import enum


class JobStatus(enum.Enum):
    """Status of a job; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether no task of the job may start any more."""
        return self in FINAL_STATUSES


FINAL_STATUSES = frozenset({JobStatus.SUCCEEDED, JobStatus.FAILED, JobStatus.CANCELLED})
