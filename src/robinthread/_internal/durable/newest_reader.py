"""Reader of the newest record of each key, page by page."""

import asyncio
import math
from typing import Final

from robinthread._internal.durable.errors import StoreNoAnswerError
from robinthread._internal.durable.hung_calls import end_within
from robinthread._internal.durable.store import (
    KeyedRecord,
    NewestRecords,
    Partition,
    Store,
)

# Timeouts of one page, which has up to 1 MB.  The minimum is how long the store takes at its
# slowest.  Each lost response doubles the timeout of all further pages, because what delays one
# page delays the next as well.  The maximum is enough for 1 MB over 2 Mbit/s.
PAGE_TIMEOUT_MIN_S: Final = 1.2
PAGE_TIMEOUT_MAX_S: Final = 4.8


class NewestReader:
    """Reads a partition once and keeps the pages already read when a page fails.

    The pages together are not a consistent snapshot.  Records that change in the meantime have
    offsets at or after the end that the first page reports, and that end is the offset
    returned to read on from.  ``began_at_s`` is when the first page was requested, by the event
    loop's clock: the records of a later page may be newer, those of the first page are not.
    """

    def __init__(self, store: Store, partition: Partition) -> None:
        self._store = store
        self._partition = partition
        self._records: list[KeyedRecord] = []
        self._unreadable_count = 0
        self._next_offset: int | None = None
        self._after_key = ""
        self._timeout_s = PAGE_TIMEOUT_MIN_S
        self.began_at_s = -math.inf

    async def read(self) -> NewestRecords:
        """Read up to the last page and return all records.

        Raises ``StoreError`` if a page fails; the next call resumes at that page.
        """
        while True:
            if self._next_offset is None:
                self.began_at_s = asyncio.get_running_loop().time()
            try:
                page = await end_within(
                    self._timeout_s,
                    self._store.read_newest(self._partition, self._after_key, self._timeout_s),
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
