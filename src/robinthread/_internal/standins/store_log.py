"""One partition of the stand-in of the platform's store."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from robinthread._internal.durable.errors import StoreFencedError, StoreSequenceError
from robinthread._internal.durable.record_limits import get_size_bytes
from robinthread._internal.durable.store import AppendResult, KeyedRecord, WriterStamp

RESPONSES_RETAINED: Final = 5


@dataclass
class _Writer:
    epoch: int = -1
    sequence: int | None = None
    responses: dict[int, AppendResult] = field(default_factory=dict)


class StoreLog:
    """One partition: its records, the newest record of each key, and its writers.

    ``first`` is the offset of the first record that is retained.  ``grown`` is set, and replaced by
    a new event, after each append of records.  ``kept_bytes`` is the size of the records that can
    be read.
    """

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []
        self.first = 0
        self.kept_bytes = 0
        self.newest: dict[str, KeyedRecord] = {}
        self.writers: dict[str, _Writer] = defaultdict(_Writer)
        self.grown = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, records: Sequence[KeyedRecord]) -> AppendResult:
        """Append records; one without a value removes its key."""
        offset = self.end
        for position, record in enumerate(records):
            stored = KeyedRecord(record.key, record.value, offset + position)
            self.records.append(stored)
            self.kept_bytes += get_size_bytes(stored)
            if stored.value is None:
                self.newest.pop(stored.key, None)
            else:
                self.newest[stored.key] = stored
        if records:
            self.grown.set()
            self.grown = asyncio.Event()
        return AppendResult(offset, self.end)

    def append_stamped(self, records: Sequence[KeyedRecord], stamp: WriterStamp) -> AppendResult:
        """Append a writer's records, once for each sequence number of its epoch.

        Raises ``StoreFencedError`` if a higher epoch of the writer has been seen, and
        ``StoreSequenceError`` if its sequence number is not the next one.
        """
        writer = self.writers[stamp.name]
        if stamp.epoch < writer.epoch:
            raise StoreFencedError("a newer writer has been seen")
        if stamp.epoch > writer.epoch:
            self.writers[stamp.name] = writer = _Writer(stamp.epoch)
        if not records:
            return AppendResult(self.end, self.end)
        if stamp.sequence in writer.responses:
            return writer.responses[stamp.sequence]
        if writer.sequence is not None and stamp.sequence != writer.sequence + 1:
            raise StoreSequenceError(writer.sequence + 1)
        writer.sequence = stamp.sequence
        response = writer.responses[stamp.sequence] = self.append(records)
        writer.responses.pop(stamp.sequence - RESPONSES_RETAINED, None)
        return response

    def expire(self) -> None:
        """Delete all records, but keep the newest record of each key readable."""
        self.first = self.end
        self.records.clear()
        self.kept_bytes = sum(map(get_size_bytes, self.newest.values()))


def take_within(records: Iterable[KeyedRecord], max_bytes: int) -> tuple[KeyedRecord, ...]:
    """Return the first records up to a size, at least one if there are any."""
    taken: list[KeyedRecord] = []
    size_bytes = 0
    for record in records:
        size_bytes += get_size_bytes(record)
        if taken and size_bytes > max_bytes:
            break
        taken.append(record)
    return tuple(taken)
