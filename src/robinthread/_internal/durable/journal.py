"""Writer of the progress of a pool's jobs, fenced by the owner's token."""

import asyncio
import math
from collections.abc import Sequence
from typing import Final

from robinthread._internal.durable.errors import (
    StoreError,
    StoreFencedError,
    StoreRejectedError,
    StoreSequenceError,
)
from robinthread._internal.durable.record_limits import (
    RecordLimits,
    find_excess,
    split_by_call,
)
from robinthread._internal.durable.store import KeyedRecord, Partition, Store, WriterStamp
from robinthread._internal.telemetry.event_log import EventLog

# Pause before a failed append is retried.
RETRY_PAUSE_S: Final = 0.05


class Journal:
    """The only writer of a pool's progress; the store rejects appends of earlier owners.

    ``confirmed_at_s`` is when the last successful append was sent, in seconds of the event
    loop's clock.  No later owner had opened the journal by then.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        writer: str,
        token: int,
        events: EventLog,
        limits: RecordLimits,
    ) -> None:
        self._store = store
        self._partition = partition
        self._writer = writer
        self._token = token
        self._limits = limits
        self._sequence = 0
        self._append_lock = asyncio.Lock()
        self.confirmed_at_s = -math.inf
        self._events = events

    async def open(self) -> None:
        """Fence off earlier owners; raise ``StoreFencedError`` if there is a later one."""
        async with self._append_lock:
            await self._append(())

    async def write(self, records: Sequence[KeyedRecord]) -> None:
        """Append records, retrying until the store has them.

        Raises ``StoreFencedError`` if a later owner has opened the journal, and
        ``StoreRejectedError`` if the store will never take one of the records; it has the others.
        """
        if rejected := await self.write_accepted(records):
            raise StoreRejectedError(f"records that the store rejects: {sorted(rejected)}")

    async def write_accepted(self, records: Sequence[KeyedRecord]) -> frozenset[str]:
        """Append the records that the store takes; return the keys of those that it rejects.

        One append has as many records as fit in a call.  A record that the store rejects does
        not keep it from taking the others.
        """
        excesses = {record.key: find_excess(record, self._limits) for record in records}
        for key, excess in excesses.items():
            if excess:
                self._log_rejected(key, excess)
        fitting = [record for record in records if not excesses[record.key]]
        rejected = {key for key, excess in excesses.items() if excess}
        for call in split_by_call(fitting, self._limits):
            rejected |= await self._append_or_isolate(call)
        return frozenset(rejected)

    async def _append_or_isolate(self, records: Sequence[KeyedRecord]) -> frozenset[str]:
        """Append records; if the store rejects them, append them without those that it rejects."""
        try:
            async with self._append_lock:
                await self._append(records)
        except StoreRejectedError as error:
            if len(records) == 1:
                self._log_rejected(records[0].key, str(error))
                return frozenset((records[0].key,))
            middle = len(records) // 2
            first = await self._append_or_isolate(records[:middle])
            return first | await self._append_or_isolate(records[middle:])
        return frozenset()

    async def _append(self, records: Sequence[KeyedRecord]) -> None:
        """Append records in one call, or set the writer's epoch without any."""
        stamp = WriterStamp(self._writer, self._token, self._sequence)
        is_failing = False
        while True:
            sent_at_s = asyncio.get_running_loop().time()
            try:
                await self._store.append(self._partition, records, stamp=stamp)
            except StoreFencedError:
                raise
            except StoreSequenceError as error:
                if error.wanted <= self._sequence:
                    raise StoreFencedError(
                        f"the store is at sequence {error.wanted}, this writer at {self._sequence}"
                    ) from error
            except StoreError as error:
                if records and isinstance(error, StoreRejectedError):
                    raise
                if not is_failing:
                    is_failing = True
                    self._events.write(
                        "journal_stalled",
                        writer=self._writer,
                        sequence=self._sequence,
                        error=f"{type(error).__name__}: {error}",
                    )
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self.confirmed_at_s = sent_at_s
            if records:
                self._sequence += 1
            if is_failing:
                self._events.write("journal_resumed", writer=self._writer, sequence=self._sequence)
            return

    def _log_rejected(self, key: str, reason: str) -> None:
        self._events.write("record_rejected", writer=self._writer, key=key, error=reason)
