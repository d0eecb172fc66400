"""A task as it is sent to a worker."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Task:
    """A request's try on a worker.

    ``token`` is the fencing token; a worker refuses one older than the newest
    it has seen.  ``checkpoint`` resumes an earlier try where not empty.
    """

    id: str
    key: str
    pool: str
    token: int
    body: bytes
    checkpoint: bytes = b""
