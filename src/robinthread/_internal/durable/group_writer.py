"""Appending many callers' records together."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from robinthread._internal.durable.errors import (
    StoreError,
    StoreNoAnswerError,
    StoreRefusedError,
)
from robinthread._internal.durable.store import KeyedRecord, Partition, Store

# Pause before an append without an answer is made again.
RETRY_PAUSE_S: Final = 0.05


@dataclass
class _Entry:
    record: KeyedRecord
    deadline_s: float
    is_sent: bool = False
    done: asyncio.Future[int] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class GroupWriter:
    """Appends to one partition, one append at a time, each with all that waits.

    An append without an answer may have been done, so it is made again until
    its deadline; records must bear that.  An append that the store refuses
    fails at once unless an earlier one may have been done.
    """

    def __init__(self, store: Store, partition: Partition, call_max_bytes: int) -> None:
        self._store = store
        self._partition = partition
        self._call_max_bytes = call_max_bytes
        self._waiting: deque[_Entry] = deque()
        self._wakeup = asyncio.Event()

    async def write(self, record: KeyedRecord, deadline_s: float) -> int:
        """Append a record; return its offset at least.

        ``deadline_s`` is a time of the event loop's clock.  Raises
        ``StoreRefusedError`` where it surely was not and never will be
        appended, ``StoreNoAnswerError`` where that is not known.
        """
        entry = _Entry(record, deadline_s)
        self._waiting.append(entry)
        self._wakeup.set()
        return await entry.done

    async def run(self) -> None:
        """Append until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while self._waiting:
                await self._append_batch(self._take_batch())

    def _take_batch(self) -> list[_Entry]:
        batch: list[_Entry] = []
        size_bytes = 0
        while self._waiting:
            record = self._waiting[0].record
            size_bytes += len(record.key) + len(record.value or b"") + 8
            if batch and size_bytes > self._call_max_bytes:
                break
            batch.append(self._waiting.popleft())
        return batch

    async def _append_batch(self, batch: list[_Entry]) -> None:
        try:
            result = await self._store.append(self._partition, [entry.record for entry in batch])
        except StoreRefusedError as error:
            self._settle_refused(batch, error)
        except StoreError as error:
            self._settle_unknown(batch, error)
            await asyncio.sleep(RETRY_PAUSE_S)
        else:
            for position, entry in enumerate(batch):
                _resolve(entry, result.offset + position)

    def _settle_refused(self, batch: list[_Entry], error: StoreError) -> None:
        for entry in batch:
            if entry.is_sent:
                self._retry(entry, error)
            else:
                _fail(entry, error)

    def _settle_unknown(self, batch: list[_Entry], error: StoreError) -> None:
        for entry in batch:
            entry.is_sent = True
        # What has not been sent must not wait behind a store that says nothing.
        while self._waiting and not self._waiting[0].is_sent:
            _fail(self._waiting.popleft(), StoreRefusedError("the store does not answer"))
        for entry in batch:
            self._retry(entry, error)

    def _retry(self, entry: _Entry, error: StoreError) -> None:
        if asyncio.get_running_loop().time() < entry.deadline_s:
            self._waiting.append(entry)
            self._wakeup.set()
        else:
            _fail(entry, StoreNoAnswerError(str(error)))


def _resolve(entry: _Entry, offset: int) -> None:
    if not entry.done.done():
        entry.done.set_result(offset)


def _fail(entry: _Entry, error: StoreError) -> None:
    if not entry.done.done():
        entry.done.set_exception(error)
