"""Reading the newest record of each key, page by page."""

from typing import Final

from robinthread._internal.durable.errors import StoreNoAnswerError
from robinthread._internal.durable.store import (
    KeyedRecord,
    NewestRecords,
    Partition,
    Store,
)

# A page has up to 1 MB.  The first try of each takes no longer than the store takes at its
# slowest; after a lost answer all have twice the time, up to what 1 MB takes over 2 Mbit/s:
# what holds one page up holds up the next one.
PAGE_TIMEOUT_MIN_S: Final = 1.2
PAGE_TIMEOUT_MAX_S: Final = 4.8


class NewestReader:
    """Reads a partition once; what was read stays when a page fails.

    The pages are no snapshot: what changes meanwhile lies at or after the end that the
    first page tells, from where the reader goes on.
    """

    def __init__(self, store: Store, partition: Partition) -> None:
        self._store = store
        self._partition = partition
        self._records: list[KeyedRecord] = []
        self._unreadable_count = 0
        self._next_offset: int | None = None
        self._after_key = ""
        self._timeout_s = PAGE_TIMEOUT_MIN_S

    async def read(self) -> NewestRecords:
        """Read on to the last page; raise ``StoreError``, and go on there at the next call."""
        while True:
            try:
                page = await self._store.read_newest(
                    self._partition, self._after_key, self._timeout_s
                )
            except StoreNoAnswerError:
                self._timeout_s = min(2 * self._timeout_s, PAGE_TIMEOUT_MAX_S)
                raise
            self._records += page.records
            self._unreadable_count += page.unreadable_count
            if self._next_offset is None:
                self._next_offset = page.next_offset
            self._after_key = page.next_key
            if not page.next_key:
                return NewestRecords(
                    tuple(self._records), self._next_offset, self._unreadable_count
                )
