"""Messages between daemons.

Frozen ``msgspec.Struct`` in array form stands in for frozen data classes
here: it costs a third of the bytes, and letter 1 bounds these.
"""

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages."""


class Heartbeat(PeerMessage, frozen=True, array_like=True, tag=1):
    """A daemon lives; ``silent_halls`` are those that it has not heard for too long."""

    next_offset: int
    silent_halls: tuple[str, ...]
    digest: str
    digest_offset: int


class ClaimRequest(PeerMessage, frozen=True, array_like=True, tag=2):
    """Ask the owner of a key's partition to claim it for ``holder``."""

    key: bytes
    digest: bytes
    expires_at_s: float
    holder: str
    incarnation: str
    claim_id: int


class ClaimReply(PeerMessage, frozen=True, array_like=True, tag=3):
    """Outcome of a claim; ``holder`` and ``incarnation`` tell who has it."""

    code: int
    holder: str = ""
    incarnation: str = ""


class ClaimRelease(PeerMessage, frozen=True, array_like=True, tag=4):
    """The holder of a claim says that the request did not run and never will."""

    key: bytes
    holder: str
    incarnation: str
    claim_id: int


class SlotRequest(PeerMessage, frozen=True, array_like=True, tag=5):
    """Ask the dispatcher of a pool in a data hall for a slot, at once or by queueing."""

    pool: str
    hall: str
    team: str
    urgency: int
    deadline_at_s: float
    is_repeatable: bool
    job: bytes
    avoid: tuple[str, ...]
    may_wait: bool = True


class SlotReply(PeerMessage, frozen=True, array_like=True, tag=6):
    """A slot lease, or a refusal and when to come back."""

    code: int
    lease_id: str = ""
    host: str = ""
    address: str = ""
    token: int = 0
    retry_after_s: float = 0.0


class SlotRelease(PeerMessage, frozen=True, array_like=True, tag=7):
    """A slot lease is given back; ``outcome`` is a ``SlotOutcome``."""

    pool: str
    hall: str
    lease_id: str
    host: str
    outcome: int
    run_s: float
    job: bytes


class SlotRequestCancel(PeerMessage, frozen=True, array_like=True, tag=8):
    """A waiting ask is given up."""

    pool: str
    hall: str
    frame_id: int


class Preempt(PeerMessage, frozen=True, array_like=True, tag=9):
    """The dispatcher asks a lease's holder to checkpoint its task, or to stop it."""

    lease_id: str


class AnswerRequest(PeerMessage, frozen=True, array_like=True, tag=10):
    """Ask the holder of a claim for the answer to a duplicate."""

    key: bytes
    digest: bytes
    wait_s: float


class AnswerReply(PeerMessage, frozen=True, array_like=True, tag=11):
    """The holder's final answer."""

    code: int
    body: bytes
    retry_after_s: float = 0.0


class ImageRequest(PeerMessage, frozen=True, array_like=True, tag=12):
    """Ask a peer for its fleet state."""


class ImageReply(PeerMessage, frozen=True, array_like=True, tag=13):
    """A folder's image, encoded and compressed, and its digest; empty where not ready."""

    data: bytes


class CancelRequest(PeerMessage, frozen=True, array_like=True, tag=14):
    """Ask the holder of a request to cancel it."""

    key: bytes


class CancelReply(PeerMessage, frozen=True, array_like=True, tag=15):
    """What the cancellation came to."""

    code: int


class Goodbye(PeerMessage, frozen=True, array_like=True, tag=16):
    """A daemon stops as planned."""

    incarnation: str


class HolderRequest(PeerMessage, frozen=True, array_like=True, tag=17):
    """Ask the owner of a key's partition who holds the claim on it."""

    key: bytes


AnyMessage = (
    Heartbeat
    | ClaimRequest
    | ClaimReply
    | ClaimRelease
    | SlotRequest
    | SlotReply
    | SlotRelease
    | SlotRequestCancel
    | Preempt
    | AnswerRequest
    | AnswerReply
    | ImageRequest
    | ImageReply
    | CancelRequest
    | CancelReply
    | Goodbye
    | HolderRequest
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A message on its way.

    ``id`` is unique for the sender's incarnation; ``reply_to`` is the id of
    the frame that this one answers, zero for none.  ``sender_address`` is
    empty where nobody will answer.
    """

    sender: str
    sender_address: str
    id: int
    reply_to: int
    stamp: int
    message: AnyMessage
