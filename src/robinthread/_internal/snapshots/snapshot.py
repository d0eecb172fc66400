"""Snapshots: the folder's image as a record."""

import zlib
from dataclasses import dataclass

import msgspec

from robinthread._internal.fold.folder import FolderImage, make_digest

COMPRESSION_LEVEL = 6


@dataclass(frozen=True)
class Snapshot:
    """An image of the fold before ``next_offset``, and its digest."""

    next_offset: int
    digest: str
    image: FolderImage


def encode_snapshot(image: FolderImage) -> bytes:
    """Encode and compress an image with its digest."""
    snapshot = Snapshot(image.state.next_offset, make_digest(image), image)
    return zlib.compress(msgspec.msgpack.encode(snapshot), COMPRESSION_LEVEL)


def decode_snapshot(data: bytes) -> Snapshot | None:
    """Decode a snapshot; return None where its bytes or its digest are wrong."""
    try:
        snapshot = msgspec.msgpack.decode(zlib.decompress(data), type=Snapshot)
    except (zlib.error, msgspec.MsgspecError):
        return None
    return snapshot if make_digest(snapshot.image) == snapshot.digest else None
