"""Follower of one partition of a keyed topic."""

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import Final

from robinthread._internal.durable.errors import (
    HistoryGoneError,
    StoreError,
    StoreNoAnswerError,
)
from robinthread._internal.durable.hung_calls import end_within
from robinthread._internal.durable.newest_reader import NewestReader
from robinthread._internal.durable.store import KeyedRecord, Partition, ReadPage, Store
from robinthread._internal.telemetry.event_log import EventLog

# Longest wait of one long-polling read.  A read on a connection that was lost without a reset
# hangs for this time plus the call's own timeout.  The sum must stay below 3 s, the time after
# which a node that was cut off counts as reachable again.
FOLLOW_WAIT_S: Final = 1.5
# Longest wait for records up to an end offset that the store has reported.  A response may come
# from a replica that lags behind.
CATCH_UP_WAIT_S: Final = 0.1
# Timeouts of reads after one without a response; they double with each further one.  The
# latency of recent calls does not predict that of a large record: a configuration of 362 KB
# takes 0.6 s over 5 Mbit/s.  The maximum is below the 3 s after which a node that was cut off
# counts as reachable again.
RETRY_TIMEOUT_MIN_S: Final = 1.2
RETRY_TIMEOUT_MAX_S: Final = 2.4
# Pause after a failed read.
RETRY_PAUSE_S: Final = 0.2

ApplyFunction = Callable[[Sequence[KeyedRecord], bool], None]


class KeyedFollower:
    """Reads the newest record of each key, then every later record in order.

    ``apply`` receives records in the order of their offsets; its second argument is True for a
    snapshot of all remaining records, which replaces all earlier ones.  ``period_s`` is the
    minimum time between two reads, for partitions that change continuously; a page that does not
    reach the partition's end is followed by the next one at once.  A follower that
    starts paused reads nothing until ``resume`` or ``read_to_end`` is called.

    ``confirmed_at_s`` is when the last read that reached the partition's end was sent, in seconds
    of the event loop's clock: all records from before that time have been applied.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        apply: ApplyFunction,
        events: EventLog,
        period_s: float = 0.0,
        *,
        is_paused: bool = False,
    ) -> None:
        self._store = store
        self._partition = partition
        self._apply = apply
        self._events = events
        self._reader = NewestReader(store, partition)
        self._load_lock = asyncio.Lock()
        self._is_failing = False
        self._is_behind = False
        self._period_s = period_s
        self._fast_period_s = 0.0
        self._fast_until_s = 0.0
        self._resumed = asyncio.Event()
        self._resumed_at_s = math.inf
        if not is_paused:
            self._resumed.set()
        self._read_timeout_s: float | None = None
        self.next_offset: int | None = None
        self.confirmed_at_s = -math.inf
        self.first_read = asyncio.Event()

    async def run(self) -> None:
        """Follow until cancelled, except while paused.

        After an unexpected error, the next call starts with a snapshot: a page may be half applied.
        """
        try:
            await self._follow()
        except Exception:
            self._reset()
            raise

    async def _follow(self) -> None:
        self._resumed_at_s = min(self._resumed_at_s, asyncio.get_running_loop().time())
        while True:
            await self._resumed.wait()
            try:
                # After a failure, a read without a wait shows at once whether the store is back.
                skips_wait = self._period_s > 0 or self._is_failing or self._is_behind
                await self._follow_once(0 if skips_wait else FOLLOW_WAIT_S)
            except StoreError as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                self._record_success()
                if not self._is_behind:
                    await asyncio.sleep(self._get_pause_s())

    def poll_faster(self, period_s: float, for_s: float) -> None:
        """Read at least every ``period_s`` during the next ``for_s``."""
        self._fast_period_s = period_s
        self._fast_until_s = asyncio.get_running_loop().time() + for_s

    def _get_pause_s(self) -> float:
        is_fast = asyncio.get_running_loop().time() < self._fast_until_s
        return min(self._fast_period_s, self._period_s) if is_fast else self._period_s

    @property
    def topic(self) -> str:
        """Return the topic of the partition."""
        return self._partition.topic

    @property
    def is_paused(self) -> bool:
        """Tell whether the follower is paused."""
        return not self._resumed.is_set()

    @property
    def is_failing(self) -> bool:
        """Tell whether the last read has failed."""
        return self._is_failing

    def get_age_s(self) -> float:
        """Return the seconds since the last successful read was sent, or since the resumption."""
        known_at_s = max(self.confirmed_at_s, self._resumed_at_s)
        return asyncio.get_running_loop().time() - known_at_s

    def pause(self) -> None:
        """Stop following; the records applied so far become stale."""
        self._resumed.clear()
        self._reset()

    def _reset(self) -> None:
        self.next_offset = None
        self._reader = NewestReader(self._store, self._partition)

    def resume(self) -> None:
        """Follow again, starting with a snapshot of the newest record of each key."""
        if self.is_paused:
            self._resumed_at_s = asyncio.get_running_loop().time()
            self._resumed.set()

    async def read_to_end(self) -> None:
        """Apply all records that exist at the time of the call; raise ``StoreError``.

        The first read returns the end offset.  Later records are left to the next read: with
        60 records a second and responses of 0.24 s, reading until none is left never ends.
        """
        end = None
        while end is None:
            end = await self._follow_once(0)
        # A pause resets the next offset and discards a snapshot that is being read.
        while self.next_offset is None or self.next_offset < end:
            await self._follow_once(CATCH_UP_WAIT_S)

    async def _follow_once(self, wait_s: float) -> int | None:
        """Read once; return the partition's end offset, or None if a snapshot was read."""
        sent_at_s, from_offset = asyncio.get_running_loop().time(), self.next_offset
        end = await self._read_once(wait_s)
        if end is None or self.next_offset is None:
            return end
        if self.next_offset >= end:
            self._confirm(sent_at_s)
        # A page holds a limited number of bytes, so that it may end before the partition does.  One
        # without records comes from a replica that lags, and the next one may be as empty.
        self._is_behind = (from_offset or 0) < self.next_offset < end
        return end

    def _confirm(self, read_at_s: float) -> None:
        self.confirmed_at_s = max(self.confirmed_at_s, read_at_s)

    async def _read_once(self, wait_s: float) -> int | None:
        if self.next_offset is None:
            async with self._load_lock:
                if self.next_offset is None:
                    await self._load()
                    return None
        try:
            page = await end_within(
                wait_s + (self._read_timeout_s or RETRY_TIMEOUT_MIN_S),
                self._store.read(self._partition, self.next_offset, wait_s, self._read_timeout_s),
            )
        except StoreNoAnswerError:
            timeout_s = 2 * (self._read_timeout_s or RETRY_TIMEOUT_MIN_S / 2)
            self._read_timeout_s = min(timeout_s, RETRY_TIMEOUT_MAX_S)
            raise
        except HistoryGoneError as error:
            self._events.write(
                "history_gone",
                topic=self._partition.topic,
                next_offset=self.next_offset,
                first_offset=error.first,
            )
            async with self._load_lock:
                self.next_offset = None
                await self._load()
            return None
        self._read_timeout_s = None
        self._apply_page(page)
        return page.end

    def _apply_page(self, page: ReadPage) -> None:
        if self.next_offset is None:
            return
        self._log_unreadable(page.unreadable_count)
        new = [record for record in page.records if record.offset >= self.next_offset]
        if new:
            self._apply(new, False)
        self.next_offset = max(self.next_offset, page.next_offset)

    async def _load(self) -> None:
        """Read and apply a snapshot of the newest record of each key.

        Its end offset may be from before the call, because the reader resumes where an earlier
        attempt failed.
        """
        reader = self._reader
        newest = await reader.read()
        self._reader = NewestReader(self._store, self._partition)
        if self.next_offset is not None and self.next_offset > newest.next_offset:
            # A concurrent read has already advanced further.
            return
        self._log_unreadable(newest.unreadable_count)
        records = sorted(newest.records, key=lambda record: record.offset)
        self._apply(records, True)
        self.next_offset = newest.next_offset
        self._confirm(reader.began_at_s)
        self.first_read.set()

    def _log_unreadable(self, count: int) -> None:
        if count:
            self._events.write("records_unreadable", topic=self._partition.topic, count=count)

    def _record_failure(self, error: StoreError) -> None:
        if not self._is_failing:
            self._is_failing = True
            self._events.write(
                "store_lost", topic=self._partition.topic, error=f"{type(error).__name__}: {error}"
            )

    def _record_success(self) -> None:
        if self._is_failing:
            self._is_failing = False
            self._events.write(
                "store_regained", topic=self._partition.topic, next_offset=self.next_offset
            )
