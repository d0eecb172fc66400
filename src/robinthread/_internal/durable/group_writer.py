"""Batched appends of records from many callers."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from robinthread._internal.durable.append_latency import AppendLatency
from robinthread._internal.durable.errors import (
    StoreError,
    StoreNoAnswerError,
    StoreRefusedError,
)
from robinthread._internal.durable.store import KeyedRecord, Partition, Store, WriterStamp

# How long a batch is retried for a response before its outcome is reported as unknown.
# Callers have 3 s in all, within which they retry at another node.  That node may reach the
# store when this one does not.
BATCH_TIMEOUT_S: Final = 0.8
# Pause before a batch without a response is sent again.
RETRY_PAUSE_S: Final = 0.02
# Size of a record in addition to its key and value.
RECORD_OVERHEAD_BYTES: Final = 8


@dataclass
class _PendingRecord:
    record: KeyedRecord
    deadline_s: float
    done: asyncio.Future[int] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class GroupWriter:
    """Appends to one partition, one batch of all pending records at a time.

    A batch without a response is sent again under the same stamp, so the store keeps it at
    most once.  A batch that timed out may have been stored, but can't be stored later, because
    the next batch has a higher epoch.  ``latency`` monitors the appends.
    """

    def __init__(self, store: Store, partition: Partition, name: str, batch_max_bytes: int) -> None:
        self._store = store
        self._partition = partition
        self._name = name
        self._batch_max_bytes = batch_max_bytes
        self._epoch = 0
        self._sequence = 0
        self._pending: deque[_PendingRecord] = deque()
        self._wakeup = asyncio.Event()
        self.latency = AppendLatency()

    async def write(self, record: KeyedRecord, deadline_s: float) -> int:
        """Append a record and return its offset.

        ``deadline_s`` is a time of the event loop's clock.  Raises ``StoreRefusedError`` if
        the record has not been and never will be appended, and ``StoreNoAnswerError`` if the
        outcome is unknown.
        """
        entry = _PendingRecord(record, deadline_s)
        self._pending.append(entry)
        self._wakeup.set()
        return await entry.done

    async def run(self) -> None:
        """Append pending records until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while self._pending:
                self.latency.begin()
                await self._append(self._pop_batch())
                self.latency.end()

    def _pop_batch(self) -> list[_PendingRecord]:
        batch: list[_PendingRecord] = []
        size_bytes = 0
        while self._pending:
            record = self._pending[0].record
            size_bytes += len(record.key) + len(record.value or b"") + RECORD_OVERHEAD_BYTES
            if batch and size_bytes > self._batch_max_bytes:
                break
            batch.append(self._pending.popleft())
        return batch

    async def _append(self, batch: list[_PendingRecord]) -> None:
        """Send a batch until the store responds or the batch times out."""
        records = [entry.record for entry in batch]
        loop = asyncio.get_running_loop()
        deadline_s = min(loop.time() + BATCH_TIMEOUT_S, max(entry.deadline_s for entry in batch))
        stamp = WriterStamp(self._name, self._epoch, self._sequence)
        error: StoreError | None = None
        while True:
            try:
                result = await self._store.append(self._partition, records, stamp=stamp)
            except StoreRefusedError as refused:
                self.latency.mark_slow()
                if error is None:
                    _fail_batch(batch, refused)
                    return
            except StoreError as unconfirmed:
                error = unconfirmed
                self._reject_pending()
            else:
                self._sequence += 1
                for position, entry in enumerate(batch):
                    _resolve(entry, result.offset + position)
                return
            if loop.time() > deadline_s:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        self._epoch += 1
        self._sequence = 0
        _fail_batch(batch, StoreNoAnswerError(str(error)))

    def _reject_pending(self) -> None:
        """Reject records that were not sent, so that they don't wait for an unresponsive store."""
        pending = list(self._pending)
        self._pending.clear()
        _fail_batch(
            pending, StoreRefusedError("the store does not respond; the record was not sent")
        )


def _resolve(entry: _PendingRecord, offset: int) -> None:
    if not entry.done.done():
        entry.done.set_result(offset)


def _fail_batch(batch: list[_PendingRecord], error: StoreError) -> None:
    for entry in batch:
        if not entry.done.done():
            entry.done.set_exception(error)
