"""Recording of the progress of a pool's jobs in batches."""

import asyncio

from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.job_timing import get_allowed_duration_s
from robinthread._internal.jobs.progress import encode_progress
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.node.order_sender import OrderSender
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.utils.waiting import wait_for_event


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
        statuses = [(job, job.status) for job in jobs]
        runs = [run for job in jobs for run in _list_unsent(job)]
        await self._journal.write([KeyedRecord(job.id, encode_progress(job)) for job in jobs])
        self._batches_recorded += 1
        recorded, self._recorded = self._recorded, asyncio.Event()
        recorded.set()
        for job, status in statuses:
            self._publish_status(job, status)
        for run in runs:
            if run.phase is RunPhase.RECORDING:
                run.phase = RunPhase.SENDING
                self._runtime.spawn(self._orders.send_start(run))

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
            run_count=sum(task.last_run for task in job.tasks.values()),
            policy_source=job.policy_source.value,
            attempts_max=job.policy.attempts_max,
            failure_count=sum(task.failure_count for task in job.tasks.values()),
        )


def _list_unsent(job: Job) -> list[Run]:
    return [
        run for task in job.iter_running() for run in task.runs if run.phase is RunPhase.RECORDING
    ]
