"""Messages between nodes."""

import msgspec


class JobQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Ask a pool's owner for a job."""

    pool: str
    job_id: str


class JobAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What a pool's owner knows of a job.

    ``pool`` is where the job belongs, "" where no such job was handed in.
    ``status`` is "" where the one asked does not own that pool.
    """

    is_owner: bool
    pool: str = ""
    status: str = ""


class PendingQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Ask a pool's owner for its pending jobs."""

    pool: str


class PendingAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Count of pending jobs of each queue that has any."""

    is_owner: bool
    counts: dict[str, int] = {}
