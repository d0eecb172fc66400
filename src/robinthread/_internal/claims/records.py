"""Records of a claim partition's stream."""

import msgspec

from robinthread._internal.claims.claim import Claim


class PartitionTaken(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A daemon takes the partition; the record's offset is its epoch."""

    id: str
    owner: str
    incarnation: str


class ClaimBatch(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Claims of one group commit; void unless ``epoch`` is the partition's current one."""

    id: str
    epoch: int
    claims: tuple[Claim, ...]


PartitionRecord = PartitionTaken | ClaimBatch


def encode_partition_record(record: PartitionRecord) -> bytes:
    """Encode a record."""
    return msgspec.msgpack.encode(record)


def decode_partition_record(data: bytes) -> PartitionRecord:
    """Decode a record; raise ``msgspec.MsgspecError`` on bad bytes."""
    return msgspec.msgpack.decode(data, type=PartitionRecord)
