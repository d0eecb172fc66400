"""Envelope in which records are stored in the fleet stream."""

from dataclasses import dataclass

import msgspec

from robinthread._internal.utils.foreign_input import decode_msgpack

SCHEMA_VERSION = 1


@dataclass(frozen=True)
class Envelope:
    """An encoded record with its kind, id and author.

    ``id`` stays the same when an append is repeated, so that the record is applied once.
    ``based_on`` is the next offset of the state on which the author's decision was based.
    """

    kind: str
    id: str
    author: str
    incarnation: str
    based_on: int
    body: msgspec.Raw
    version: int = SCHEMA_VERSION


def encode_batch(batch: tuple[Envelope, ...]) -> bytes:
    """Encode the envelopes of one append as one log record."""
    return msgspec.msgpack.encode(batch)


def decode_batch(data: bytes) -> tuple[Envelope, ...]:
    """Decode the envelopes of one log record; raise ``MalformedInputError`` if it is malformed."""
    return decode_msgpack(data, tuple[Envelope, ...])
