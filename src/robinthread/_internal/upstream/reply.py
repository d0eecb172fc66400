"""A worker's reply to a task."""

import enum
import hashlib
from dataclasses import dataclass


class ReplyStatus(enum.Enum):
    """Status of a task in a worker's reply."""

    RAN = "ran"
    RAN_FAILED = "ran_failed"
    NOT_STARTED = "not_started"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"


@dataclass(frozen=True)
class WorkerReply:
    """A reply; ``length`` (bytes) and ``digest`` are those of the body as the worker sent it.

    ``digest`` is computed with ``make_body_digest``.
    """

    status: ReplyStatus
    task_id: str
    body: bytes
    length: int
    digest: str

    @property
    def is_intact(self) -> bool:
        """Return whether ``length`` and ``digest`` match the received body."""
        return self.length == len(self.body) and self.digest == make_body_digest(self.body)


def make_body_digest(body: bytes) -> str:
    """Return the digest of a body that replies carry: the first 128 bits of SHA-256, in hex."""
    return hashlib.sha256(body).hexdigest()[:32]


def make_reply(status: ReplyStatus, task_id: str, body: bytes = b"") -> WorkerReply:
    """Return a reply whose length and digest match ``body``."""
    return WorkerReply(status, task_id, body, len(body), make_body_digest(body))
