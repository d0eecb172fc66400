"""Messages between daemons.

Messages are frozen ``msgspec.Struct`` classes encoded as arrays, not frozen data
classes: this takes a third of the bytes, and the project's requirements limit the
bytes that daemons exchange.  The order of fields and the tags are the wire format.
"""

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages."""


class Heartbeat(PeerMessage, frozen=True, array_like=True, tag=1):
    """Periodic liveness message of a daemon.

    ``next_offset`` is the offset up to which the daemon has applied the log.
    ``silent_halls`` are the data halls from which it has received no frame for
    ``hall_silent_after_s``.  ``digest`` is that of its state at ``digest_offset``.
    """

    next_offset: int
    silent_halls: tuple[str, ...]
    digest: str
    digest_offset: int


class ClaimRequest(PeerMessage, frozen=True, array_like=True, tag=2):
    """Request to the owner of a key's partition to claim the key for ``holder``."""

    key: bytes
    digest: bytes
    expires_at_s: float
    holder: str
    incarnation: str
    claim_id: int


class ClaimReply(PeerMessage, frozen=True, array_like=True, tag=3):
    """Outcome of a claim or holder request.

    ``holder`` and ``incarnation`` identify the daemon that holds the claim.
    """

    code: int
    holder: str = ""
    incarnation: str = ""


class ClaimRelease(PeerMessage, frozen=True, array_like=True, tag=4):
    """Notice from a claim's holder that the claimed request did not and will not run."""

    key: bytes
    holder: str
    incarnation: str
    claim_id: int


class SlotRequest(PeerMessage, frozen=True, array_like=True, tag=5):
    """Request for a slot to the dispatcher of a pool in a data hall.

    ``may_wait`` lets the dispatcher queue the request if no slot is free.  Hosts in
    ``avoid`` are leased only if no other host fits.
    """

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
    """A slot lease, or a refusal with the time after which to retry."""

    code: int
    lease_id: str = ""
    host: str = ""
    address: str = ""
    token: int = 0
    retry_after_s: float = 0.0


class SlotRelease(PeerMessage, frozen=True, array_like=True, tag=7):
    """Notice that a slot lease is released; ``outcome`` is a ``SlotOutcome``."""

    pool: str
    hall: str
    lease_id: str
    host: str
    outcome: int
    run_s: float
    job: bytes


class SlotRequestCancel(PeerMessage, frozen=True, array_like=True, tag=8):
    """Notice that cancels the waiting slot request sent in frame ``frame_id``."""

    pool: str
    hall: str
    frame_id: int


class Preempt(PeerMessage, frozen=True, array_like=True, tag=9):
    """Notice from a dispatcher to a lease's holder to checkpoint or stop its task."""

    lease_id: str


class AnswerRequest(PeerMessage, frozen=True, array_like=True, tag=10):
    """Request to a claim's holder for its answer, to be returned to a duplicate request."""

    key: bytes
    digest: bytes
    wait_s: float


class AnswerReply(PeerMessage, frozen=True, array_like=True, tag=11):
    """The claim holder's final answer to the caller's request."""

    code: int
    body: bytes
    retry_after_s: float = 0.0


class ImageRequest(PeerMessage, frozen=True, array_like=True, tag=12):
    """Request to a peer for a snapshot of its fleet state."""


class ImageReply(PeerMessage, frozen=True, array_like=True, tag=13):
    """Encoded, compressed snapshot of the fleet state with its digest; empty if not ready."""

    data: bytes


class CancelRequest(PeerMessage, frozen=True, array_like=True, tag=14):
    """Request to the holder of a caller's request to cancel it."""

    key: bytes


class CancelReply(PeerMessage, frozen=True, array_like=True, tag=15):
    """Result code of a cancellation."""

    code: int


class Goodbye(PeerMessage, frozen=True, array_like=True, tag=16):
    """Notice that a daemon is shutting down as planned."""

    incarnation: str


class HolderRequest(PeerMessage, frozen=True, array_like=True, tag=17):
    """Request to the owner of a key's partition for the holder of the claim on the key."""

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
    """Envelope of a message on the wire.

    ``id`` is unique within the sender's incarnation.  ``reply_to`` is the id of the
    request frame that this frame answers, 0 if it is no reply.  ``sender_address`` is
    empty if the sender expects no reply.  ``stamp`` is the sender's hybrid clock.
    """

    sender: str
    sender_address: str
    id: int
    reply_to: int
    stamp: int
    message: AnyMessage
