"""Removal of jobs that ended long ago, from the store and from memory."""

import asyncio
from collections.abc import Collection, Iterable, Mapping
from itertools import islice
from typing import Final

from robinthread._internal.durable.errors import StoreError
from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.part_key import PartKey
from robinthread._internal.jobs.progress import JobProgress
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.progress_changes import drop_parts

# Interval at which expired jobs are dropped, and the maximum per interval.  Each batch needs one
# append for each of the two topics.
DROP_PERIOD_S: Final = 5.0
DROP_BATCH_MAX: Final = 500
# Jobs are retained for this long beyond the time promised to callers, because an append without
# a response may arrive 12 s late and nodes' clocks differ.
DROP_MARGIN_S: Final = 15.0
# Maximum wait for the removal of records from the inbox.  A failed batch is retried at the next
# interval.
DROP_WAIT_S: Final = 2.0


class Retention:
    """Drops a pool's ended jobs once their promised retention time is over.

    A job's records in the inbox are removed before its progress, because a job in the inbox
    without progress would run again.
    """

    def __init__(self, runtime: PoolRuntime, journal: Journal) -> None:
        self._runtime = runtime
        self._context = runtime.context
        self._journal = journal
        retention_s = self._context.settings.bounds.keep_ended_s + DROP_MARGIN_S
        self._retention_ms = retention_s * 1000

    async def run(self) -> None:
        """Drop expired jobs until cancelled."""
        while True:
            await asyncio.sleep(DROP_PERIOD_S)
            due = list(
                islice(filter(self._is_due, self._runtime.jobs.jobs.values()), DROP_BATCH_MAX)
            )
            if due:
                await self._drop(due)

    async def drop_orphans(
        self, unclaimed: Iterable[JobProgress], part_keys: Mapping[str, Collection[PartKey]]
    ) -> None:
        """Drop the progress of ended jobs that the inbox no longer contains.

        ``part_keys`` are the recorded parts of jobs by id.
        """
        known = self._context.job_index.jobs
        ended_ids = [
            progress.job_id
            for progress in unclaimed
            if progress.job_id not in known and JobStatus(progress.status).is_final
        ]
        await self._journal.write(
            [
                KeyedRecord(key, None)
                for job_id in ended_ids
                for key in (*(key.format(job_id) for key in part_keys.get(job_id, ())), job_id)
            ]
        )

    def _is_due(self, job: Job) -> bool:
        age_ms = self._context.get_wall_ms() - job.ended_at_ms
        return (
            job.recorded_status.is_final
            and age_ms > self._retention_ms
            and not any(job.iter_running())
        )

    async def _drop(self, jobs: list[Job]) -> None:
        indexed = self._context.job_index.jobs
        keys = [key for job in jobs if job.id in indexed for key in indexed[job.id].keys]
        deadline_s = get_loop_s() + DROP_WAIT_S
        try:
            await asyncio.gather(
                *(
                    self._context.inbox_writer.write(KeyedRecord(key, None), deadline_s)
                    for key in keys
                )
            )
        except StoreError as error:
            self._runtime.events.write(
                "jobs_not_dropped",
                pool=self._runtime.pool,
                count=len(jobs),
                error=f"{type(error).__name__}: {error}",
            )
            return
        await self._journal.write(
            [
                record
                for job in jobs
                for record in (*drop_parts(job, job.recorded_parts), KeyedRecord(job.id, None))
            ]
        )
        for job in jobs:
            self._runtime.jobs.drop_job(job)
        self._runtime.events.write("jobs_dropped", pool=self._runtime.pool, count=len(jobs))
