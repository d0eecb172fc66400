"""A worker's reply to a task."""

import enum
import hashlib
from dataclasses import dataclass


class ReplyStatus(enum.Enum):
    """What a worker says of a task."""

    RAN = "ran"
    RAN_FAILED = "ran_failed"
    NOT_STARTED = "not_started"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"


@dataclass(frozen=True)
class WorkerReply:
    """A reply; ``length`` is in bytes, ``digest`` is ``make_body_digest`` of the body."""

    status: ReplyStatus
    task_id: str
    body: bytes
    length: int
    digest: str

    @property
    def is_intact(self) -> bool:
        """Tell whether length and digest match the body."""
        return self.length == len(self.body) and self.digest == make_body_digest(self.body)


def make_body_digest(body: bytes) -> str:
    """Return the digest that answers and identities carry."""
    return hashlib.sha256(body).hexdigest()[:32]


def make_reply(status: ReplyStatus, task_id: str, body: bytes = b"") -> WorkerReply:
    """Make a whole reply."""
    return WorkerReply(status, task_id, body, len(body), make_body_digest(body))
