"""Limits of the store on the size of records and calls."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from robinthread._internal.durable.store import KeyedRecord

# A record states the length of its key in one byte.
KEY_MAX_BYTES: Final = 255
# Size of a record in addition to its key and value: its length and that of its key.
RECORD_OVERHEAD_BYTES: Final = 5


@dataclass(frozen=True, slots=True)
class RecordLimits:
    """Maximum size of one record, and of all records of one append."""

    record_max_bytes: int
    call_max_bytes: int


def get_size_bytes(record: KeyedRecord) -> int:
    """Return the size of a record in an append."""
    return RECORD_OVERHEAD_BYTES + len(record.key.encode()) + len(record.value or b"")


def find_excess(record: KeyedRecord, limits: RecordLimits) -> str:
    """Return why no append can contain a record, or "" if one can."""
    key_bytes, size_bytes = len(record.key.encode()), get_size_bytes(record)
    max_bytes = min(limits.record_max_bytes, limits.call_max_bytes)
    if key_bytes > KEY_MAX_BYTES:
        return f"the key has {key_bytes} bytes, at most {KEY_MAX_BYTES} are possible"
    if size_bytes > max_bytes:
        return f"the record has {size_bytes} bytes, the store takes {max_bytes}"
    return ""


def split_by_call(
    records: Iterable[KeyedRecord], limits: RecordLimits
) -> Iterator[list[KeyedRecord]]:
    """Split records, in order, into lists that each fit in one append."""
    call: list[KeyedRecord] = []
    call_bytes = 0
    for record in records:
        size_bytes = get_size_bytes(record)
        if call and call_bytes + size_bytes > limits.call_max_bytes:
            yield call
            call, call_bytes = [], 0
        call.append(record)
        call_bytes += size_bytes
    if call:
        yield call
