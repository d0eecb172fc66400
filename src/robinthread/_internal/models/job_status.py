"""State of a job as its caller sees it."""

import enum


class JobStatus(enum.Enum):
    """State of a job; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Tell whether nothing of the job may start any more."""
        return self in FINAL_STATUSES


FINAL_STATUSES = frozenset({JobStatus.SUCCEEDED, JobStatus.FAILED, JobStatus.CANCELLED})
