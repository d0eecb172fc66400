"""A task as sent to a worker."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Task:
    """A single try of a request on a worker.

    ``token`` is the fencing token; a worker refuses a token older than the newest one that
    it has received.  A ``checkpoint`` that is not empty resumes an earlier try.
    """

    id: str
    key: str
    pool: str
    token: int
    body: bytes
    checkpoint: bytes = b""
