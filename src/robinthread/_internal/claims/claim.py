"""A claim on a request that must not be repeated."""

import hashlib
from typing import Final

import msgspec

KEY_BYTES: Final = 12
DIGEST_BYTES: Final = 8


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A claim as stored in the partition's stream and in its owner's table.

    The struct is encoded as an array because claims are the only state that grows
    with the callers' load.  ``claim_id`` makes a repeated claim request of the same
    holder idempotent.  The claim may be dropped after ``expires_at_s``, Unix time.
    """

    key: bytes
    digest: bytes
    expires_at_s: float
    holder: str
    incarnation: str
    claim_id: int


def make_key(caller: str, request_id: str) -> bytes:
    """Return the key, a hash of ``KEY_BYTES`` bytes, of a caller's request id."""
    text = f"{len(caller)}:{caller}{request_id}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


def make_identity_digest(pool: str, deadline_at_s: float, body: bytes) -> bytes:
    """Return a digest of the values that must be equal in all tries of one request."""
    head = f"{len(pool)}:{pool}{deadline_at_s:.3f}".encode()
    return hashlib.blake2b(head + body, digest_size=DIGEST_BYTES).digest()


def get_partition(key: bytes, partitions: int) -> int:
    """Return the partition that ``key`` belongs to."""
    return int.from_bytes(key[:4], "big") % partitions
