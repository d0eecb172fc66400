"""Batched appends of records from many callers."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import Final

from robinthread._internal.durable.append_admission import (
    HELD_SHARE,
    RETRY_AFTER_MIN_S,
    AppendBacklog,
    decide_admission,
)
from robinthread._internal.durable.append_lane import AppendLane
from robinthread._internal.durable.append_latency import AppendLatency
from robinthread._internal.durable.errors import (
    StoreError,
    StoreNoAnswerError,
    StoreRefusedError,
    StoreRejectedError,
)
from robinthread._internal.durable.pending_record import (
    PendingRecord,
    cancel_timer,
    end_as_unknown,
    fail_batch,
    resolve,
)
from robinthread._internal.durable.record_limits import (
    RecordLimits,
    find_excess,
    get_size_bytes,
)
from robinthread._internal.durable.store import KeyedRecord, Partition, Store

# How long a batch is retried for a response before its outcome is reported as unknown.
# Callers have 3 s in all, within which they retry at another node.  That node may reach the
# store when this one does not.
BATCH_TIMEOUT_S: Final = 0.8
# Timeout of an append while the store is slow.  A repeat would wait for another turn at the
# partition, so the first one is given nearly as long as the store lets an append wait (2 s).
SLOW_TIMEOUT_S: Final = 1.8
# Pause before a batch without a response is sent again.
RETRY_PAUSE_S: Final = 0.02
# Number of lanes, which is that of batches under way at a time while the store is slow.
LANES: Final = 4
# Minimum time between the starts of two batches while the store is slow.
BATCH_INTERVAL_S: Final = 0.3
# Interval at which a writer with pending records checks whether a further batch may be sent.
RECHECK_S: Final = 0.05
# Expected duration of an append until one has been measured.
TYPICAL_SLOW_S: Final = 0.25
# A record may wait, and then be under way, for at least this long, even after its deadline.
RECORD_TIME_MIN_S: Final = 0.1


class GroupWriter:
    """Appends to one partition, one batch of all pending records at a time.

    A batch without a response is sent again under the same stamp, so the store keeps it at
    most once.  A batch that timed out may have been stored, but can't be stored later, because
    the next batch has a higher epoch.  ``latency`` monitors the appends.

    While ``is_store_slow``, further batches are sent before the response to the last one, each
    under the name of a lane of its own, so that none depends on another's sequence.  Then no
    batch is sent again, because each repeat takes a turn at the partition.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        name: str,
        limits: RecordLimits,
        latency: AppendLatency | None = None,
        is_store_slow: Callable[[], bool] = lambda: False,
        is_store_silent: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._partition = partition
        self._limits = limits
        self._is_store_slow = is_store_slow
        self._is_store_silent = is_store_silent
        names = (name, *(f"{name}/{number}" for number in range(1, LANES)))
        self._lanes = tuple(map(AppendLane, names))
        self._tasks: set[asyncio.Task[None]] = set()
        self._lane_errors: list[BaseException] = []
        self._pending: deque[PendingRecord] = deque()
        self._wakeup = asyncio.Event()
        self._recheck: asyncio.TimerHandle | None = None
        self._last_sent_at_s = -math.inf
        self._typical_s = TYPICAL_SLOW_S
        self.latency = latency or AppendLatency()

    async def write(
        self, record: KeyedRecord, deadline_s: float, send_by_s: float | None = None
    ) -> int:
        """Append a record and return its offset.

        ``deadline_s`` and ``send_by_s`` are times of the event loop's clock.  A record that was
        not sent by ``send_by_s`` is refused; None stands for ``HELD_SHARE`` of the time until
        the deadline.  Raises ``StoreRefusedError`` if the record has not been and never will be
        appended, ``StoreRejectedError`` if the store will never take it, and
        ``StoreNoAnswerError`` if the outcome is unknown.
        """
        if excess := find_excess(record, self._limits):
            raise StoreRejectedError(excess)
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        if send_by_s is None:
            send_by_s = now_s + HELD_SHARE * (deadline_s - now_s)
        send_by_s = max(send_by_s, now_s + RECORD_TIME_MIN_S)
        if self._is_store_slow():
            self._check_admission(send_by_s - now_s, deadline_s - now_s)
        entry = PendingRecord(record, deadline_s)
        entry.timer = loop.call_at(send_by_s, self._refuse_unsent, entry)
        self._pending.append(entry)
        self._start_lane()
        return await entry.done

    def _check_admission(self, hold_s: float, left_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        ages_s = (now_s - lane.sent_at_s for lane in self._lanes if lane.sent_at_s is not None)
        backlog = AppendBacklog(
            tuple(sorted(ages_s, reverse=True)), self._typical_s, LANES, BATCH_INTERVAL_S
        )
        admission = decide_admission(backlog, hold_s, left_s)
        if not admission.is_accepted:
            raise StoreRefusedError(
                "the store is slow and earlier appends are under way; the record was not sent",
                admission.retry_after_s,
            )

    def _refuse_unsent(self, entry: PendingRecord) -> None:
        """Refuse a record that has waited too long for its batch to be sent."""
        if entry in self._pending:
            self._pending.remove(entry)
            fail_batch(
                [entry],
                StoreRefusedError(
                    "earlier appends are under way; the record was not sent", RETRY_AFTER_MIN_S
                ),
            )

    async def run(self) -> None:
        """Append pending records until cancelled; raise an unexpected error of a lane."""
        self._wakeup.set()
        try:
            while True:
                await self._wakeup.wait()
                self._wakeup.clear()
                if self._lane_errors:
                    raise self._lane_errors.pop()
                if self._recheck is not None:
                    self._recheck.cancel()
                    self._recheck = None
                self._start_lane()
        finally:
            for task in self._tasks:
                task.cancel()

    def _start_lane(self) -> None:
        """Begin to send pending records if a lane may be used; otherwise check again soon."""
        if not self._pending:
            return
        loop = asyncio.get_running_loop()
        lane = self._find_lane()
        if lane is None:
            if self._is_store_silent():
                self._reject_pending()
            if self._recheck is None:
                self._recheck = loop.call_later(RECHECK_S, self._wakeup.set)
            return
        lane.sent_at_s = self._last_sent_at_s = loop.time()
        task = asyncio.create_task(self._run_lane(lane))
        self._tasks.add(task)
        task.add_done_callback(self._end_lane)

    def _end_lane(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self._lane_errors.append(error)
            self._wakeup.set()

    def _find_lane(self) -> AppendLane | None:
        """Return the lane to send a batch on now, or None.

        The first lane is used whenever it is free, the others only while the store is slow.
        """
        first = self._lanes[0]
        if all(lane.sent_at_s is None for lane in self._lanes):
            return first
        now_s = asyncio.get_running_loop().time()
        if not self._is_store_slow() or now_s - self._last_sent_at_s < BATCH_INTERVAL_S:
            return None
        return next((lane for lane in self._lanes if lane.sent_at_s is None), None)

    async def _run_lane(self, lane: AppendLane) -> None:
        """Send the pending records, in several batches while the lane may be used."""
        try:
            while self._pending:
                lane.sent_at_s = self._last_sent_at_s = asyncio.get_running_loop().time()
                await self._send_batch(lane)
                lane.sent_at_s = None
                if self._find_lane() is not lane:
                    break
        except BaseException:
            # The outcome of the batch is unknown, so the next one must not depend on it.
            lane.begin_epoch()
            raise
        finally:
            lane.sent_at_s = None
            self._wakeup.set()

    async def _send_batch(self, lane: AppendLane) -> None:
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        is_first = lane is self._lanes[0]
        if is_first:
            self.latency.begin()
        await self._append(lane, self._pop_batch())
        if is_first:
            self.latency.end()
        else:
            self.latency.record_duration(loop.time() - began_at_s)

    def _pop_batch(self) -> list[PendingRecord]:
        batch: list[PendingRecord] = []
        size_bytes = 0
        loop = asyncio.get_running_loop()
        while self._pending:
            record = self._pending[0].record
            size_bytes += get_size_bytes(record)
            if batch and size_bytes > self._limits.call_max_bytes:
                break
            entry = self._pending.popleft()
            cancel_timer(entry)
            entry.timer = loop.call_at(
                max(entry.deadline_s, loop.time() + RECORD_TIME_MIN_S), end_as_unknown, entry
            )
            batch.append(entry)
        return batch

    async def _append(self, lane: AppendLane, batch: list[PendingRecord]) -> None:
        """Send a batch until the store responds or the batch times out."""
        records = [entry.record for entry in batch]
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        deadline_s = min(began_at_s + BATCH_TIMEOUT_S, max(entry.deadline_s for entry in batch))
        stamp = lane.make_stamp()
        error: StoreError | None = None
        while True:
            timeout_s = SLOW_TIMEOUT_S if self._is_store_slow() else None
            try:
                result = await self._store.append(
                    self._partition, records, stamp=stamp, timeout_s=timeout_s
                )
            except StoreRejectedError as rejected:
                await self._isolate_rejected(lane, batch, rejected)
                return
            except StoreRefusedError as refused:
                self.latency.mark_slow()
                if error is None:
                    fail_batch(batch, refused)
                    return
            except StoreError as unconfirmed:
                error = unconfirmed
                if self._is_store_slow():
                    break
                self._reject_pending()
            else:
                lane.sequence += 1
                self._typical_s = loop.time() - began_at_s
                for position, entry in enumerate(batch):
                    resolve(entry, result.offset + position)
                return
            if loop.time() > deadline_s:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        lane.begin_epoch()
        fail_batch(batch, StoreNoAnswerError(str(error)))

    async def _isolate_rejected(
        self, lane: AppendLane, batch: list[PendingRecord], error: StoreRejectedError
    ) -> None:
        """Append the records of a rejected batch one by one, and fail those that are rejected."""
        if len(batch) == 1:
            fail_batch(batch, error)
            return
        for entry in batch:
            await self._append(lane, [entry])

    def _reject_pending(self) -> None:
        """Reject records that were not sent, so that they don't wait for an unresponsive store."""
        pending = list(self._pending)
        self._pending.clear()
        fail_batch(
            pending, StoreRefusedError("the store does not respond; the record was not sent")
        )
