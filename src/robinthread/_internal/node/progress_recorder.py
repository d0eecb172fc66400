"""Recording of the progress of a pool's jobs in batches."""

import asyncio
import itertools
from collections.abc import Collection, Iterable
from typing import Final

from robinthread._internal.durable.journal import Journal
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.job_timing import get_allowed_duration_s
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.node.order_sender import OrderSender
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.progress_changes import (
    JobChanges,
    restore_changes,
    take_changes,
)
from robinthread._internal.utils.waiting import wait_for_event

# A job whose records the store rejects starts nothing for this long, then is tried again.
HELD_BACK_S: Final = 5.0


class ProgressRecorder:
    """Writes jobs' changes to the journal, then performs the steps that depend on the record.

    Starts are sent and final statuses are published only once they are recorded.  Changes made
    while a batch is being written go into the next batch.
    """

    def __init__(self, runtime: PoolRuntime, journal: Journal, orders: OrderSender) -> None:
        self._runtime = runtime
        self._journal = journal
        self._orders = orders
        self._batches_started = 0
        self._batches_recorded = 0
        self._recorded = asyncio.Event()

    async def run(self) -> None:
        """Record changed jobs until cancelled."""
        while True:
            await self._runtime.unrecorded.wait()
            self._runtime.unrecorded.clear()
            jobs = self._runtime.jobs.drain_unrecorded()
            if jobs:
                await self._record(jobs)

    async def flush(self, wait_s: float) -> bool:
        """Record all current changes; return whether that took no longer than ``wait_s``."""
        self._runtime.unrecorded.set()
        return await self.wait(self.next_batch, wait_s)

    @property
    def next_batch(self) -> int:
        """Return the number of the batch that contains all changes made until now."""
        return self._batches_started + bool(self._runtime.jobs.unrecorded)

    async def wait(self, batch: int, wait_s: float) -> bool:
        """Wait at most ``wait_s`` until a batch is recorded; return whether it is."""
        deadline_s = get_loop_s() + wait_s
        while self._batches_recorded < batch:
            left_s = deadline_s - get_loop_s()
            if left_s <= 0 or not await wait_for_event(self._recorded, left_s):
                return self._batches_recorded >= batch
        return True

    async def _record(self, jobs: list[Job]) -> None:
        self._batches_started += 1
        self._runtime.recording_since_s = get_loop_s()
        changes = self._take_all_changes(jobs)
        rejected_keys = await self._write(changes)
        rejected = [one for one in changes if _has_record(one, rejected_keys)]
        if rejected:
            changes = [one for one in changes if not _has_record(one, rejected_keys)]
            await self._record_without_starts(rejected)
        self._batches_recorded += 1
        self._runtime.recording_since_s = None
        recorded, self._recorded = self._recorded, asyncio.Event()
        recorded.set()
        for one in changes:
            self._publish_status(one.job, one.status)
        runs = itertools.chain.from_iterable(one.runs for one in changes)
        self._send_starts([run for run in runs if run.phase is RunPhase.RECORDING])

    def _send_starts(self, runs: Iterable[Run]) -> None:
        """Send the starts of runs that are recorded now."""
        now_s = get_loop_s()
        oldest_s = min((run.placed_at_s for run in runs if run.placed_at_s), default=now_s)
        if oldest_s < now_s:
            self._runtime.jobs.recording_times.record(now_s - oldest_s, now_s)
        for run in runs:
            run.phase = RunPhase.SENDING
            self._runtime.spawn(self._orders.send_start(run))

    def _take_all_changes(self, jobs: Iterable[Job]) -> list[JobChanges]:
        context = self._runtime.context
        may_split, limits = context.may_split_progress(), context.settings.store.record_limits
        return [take_changes(job, may_split, limits) for job in jobs]

    async def _write(self, changes: Iterable[JobChanges]) -> frozenset[str]:
        """Write the records of changes; return the keys of those that the store rejects."""
        return await self._journal.write_accepted(
            list(itertools.chain.from_iterable(one.records for one in changes))
        )

    async def _record_without_starts(self, rejected: Collection[JobChanges]) -> None:
        """Record jobs whose records the store rejected, without the runs that are not sent yet.

        Their other runs were recorded before, and go on.  The jobs start nothing for a while.
        """
        for one in rejected:
            restore_changes(one)
            self._runtime.jobs.hold_back(one.job)
            self._runtime.spawn(self._release_later(one.job))
        changes = self._take_all_changes([one.job for one in rejected])
        rejected_keys = await self._write(changes)
        for one in changes:
            is_recorded = not _has_record(one, rejected_keys)
            if is_recorded:
                self._publish_status(one.job, one.status)
            else:
                restore_changes(one)
            self._runtime.events.write(
                "job_held_back",
                job=one.job.id,
                pool=self._runtime.pool,
                for_s=HELD_BACK_S,
                is_recorded=is_recorded,
            )

    async def _release_later(self, job: Job) -> None:
        await asyncio.sleep(HELD_BACK_S)
        self._runtime.jobs.release(job)
        self._runtime.wake()

    def _publish_status(self, job: Job, status: JobStatus) -> None:
        if status.is_final and not job.recorded_status.is_final:
            self._log_job_end(job, status)
        job.recorded_status = status

    def _log_job_end(self, job: Job, status: JobStatus) -> None:
        """Log the end of a job, with its duration and the duration that it was allowed."""
        took_ms = job.ended_at_ms - job.spec.accepted_at_ms
        pool = self._runtime.pool
        self._runtime.events.metrics.record_job_end(pool, status.value, took_ms / 1000)
        self._runtime.events.write(
            "job_failed" if status is JobStatus.FAILED else "job_ended",
            job=job.id,
            pool=pool,
            queue=job.spec.queue,
            outcome=status.value,
            took_ms=took_ms,
            allowed_ms=round(get_allowed_duration_s(job, self._runtime.jobs.run_times) * 1000),
            run_count=job.count_runs(),
            policy_source=job.policy_source.value,
            attempts_max=job.policy.attempts_max,
            failure_count=job.count_failures(),
        )


def _has_record(changes: JobChanges, keys: Collection[str]) -> bool:
    return any(record.key in keys for record in changes.records)
