"""Envelope of every record in the fleet stream."""

from dataclasses import dataclass

import msgspec

SCHEMA_VERSION = 1


@dataclass(frozen=True)
class Envelope:
    """A record as it travels.

    ``id`` is unique to the decision, so that a repeated append folds once.
    ``based_on`` is the offset the author's decision was based on.
    """

    kind: str
    id: str
    author: str
    incarnation: str
    based_on: int
    body: msgspec.Raw
    version: int = SCHEMA_VERSION


def encode_batch(batch: tuple[Envelope, ...]) -> bytes:
    """Encode envelopes that share one append."""
    return msgspec.msgpack.encode(batch)


def decode_batch(data: bytes) -> tuple[Envelope, ...]:
    """Decode the envelopes of one log record; raise ``msgspec.DecodeError`` on bad bytes."""
    return msgspec.msgpack.decode(data, type=tuple[Envelope, ...])
