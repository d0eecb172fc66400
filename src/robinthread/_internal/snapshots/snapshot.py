"""Encoding of the folder's image as a log record."""

import zlib
from dataclasses import dataclass

import msgspec

from robinthread._internal.fold.folder import FolderImage, make_digest
from robinthread._internal.utils.foreign_input import MalformedInputError, decode_msgpack

COMPRESSION_LEVEL = 6


@dataclass(frozen=True)
class Snapshot:
    """The folder's image after all records before ``next_offset``, and its digest."""

    next_offset: int
    digest: str
    image: FolderImage


def encode_snapshot(image: FolderImage) -> bytes:
    """Return an image with its digest, encoded and compressed."""
    snapshot = Snapshot(image.state.next_offset, make_digest(image), image)
    return zlib.compress(msgspec.msgpack.encode(snapshot), COMPRESSION_LEVEL)


def decode_snapshot(data: bytes) -> Snapshot | None:
    """Return the decoded snapshot, or None if it is malformed or its digest does not match."""
    try:
        snapshot = decode_msgpack(zlib.decompress(data), Snapshot)
    except (zlib.error, MalformedInputError):
        return None
    return snapshot if make_digest(snapshot.image) == snapshot.digest else None
