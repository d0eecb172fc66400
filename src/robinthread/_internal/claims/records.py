"""Records in the stream of a claim partition."""

import msgspec

from robinthread._internal.claims.claim import Claim
from robinthread._internal.utils.foreign_input import decode_msgpack


class PartitionTaken(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A daemon acquires the partition; the offset of this record is the new epoch."""

    id: str
    owner: str
    incarnation: str


class ClaimBatch(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Claims of one group commit; valid only if ``epoch`` is the partition's current one."""

    id: str
    epoch: int
    claims: tuple[Claim, ...]


PartitionRecord = PartitionTaken | ClaimBatch


def encode_partition_record(record: PartitionRecord) -> bytes:
    """Encode a record as MessagePack."""
    return msgspec.msgpack.encode(record)


def decode_partition_record(data: bytes) -> PartitionRecord:
    """Decode a record; raise ``MalformedInputError`` if the bytes are malformed."""
    return decode_msgpack(data, PartitionRecord)  # type: ignore[arg-type]
