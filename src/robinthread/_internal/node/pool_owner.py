"""Owning one pool: its jobs, its hosts and every order to them."""

import asyncio
import time
from collections import Counter
from collections.abc import Coroutine
from typing import Any, Final

import msgspec

from robinthread._internal.durable.errors import StoreError, StoreFencedError
from robinthread._internal.durable.job_index import IndexedJob
from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.host_errors import (
    HostFencedError,
    HostGoneError,
    HostNoAnswerError,
    HostUnhealthyError,
    HostUnreachableError,
    NoRoomError,
    StartRejectedError,
)
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.placement import place_waiting
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.progress import JobProgress, decode_progress, encode_progress
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.models.host_report import HostReport
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.node.context import NodeContext
from robinthread._internal.utils.waiting import wait_for_event

PROGRESS_TOPIC: Final = "keyed.progress"
# How long a task may run on without word from the pool's owner.  It must outlast
# a change of owner (about 2 s) and keeps a cut-off host's tasks from running
# elsewhere for as long; see docs/design/on-the-platform.md.
LEASE_MS: Final = 4000
# Hosts' clocks may run this much slow.
CLOCK_SLOW_SHARE: Final = 0.02
# Added to the time after which a lease has surely lapsed.
LAPSE_MARGIN_S: Final = 0.1
# Longest wait of one look at a host.  Each look renews the lease.
WATCH_WAIT_S: Final = 1.0
# How long a host waits for its ends to be recorded before its lease is renewed.
RECORD_WAIT_S: Final = 0.5
# Pause before a host that did not answer is asked again.
HOST_RETRY_PAUSE_S: Final = 0.2
# Starts that are sent again before the run is given up.
START_TRIES: Final = 3
# How long a host that rejected a task for want of room gets no more.
ROOM_REJECTED_PAUSE_S: Final = 0.3
# How long a host that said it is not well gets no work.
UNHEALTHY_PAUSE_S: Final = 1.0
# Orders under way at once to one host, each on a connection of its own.
ORDERS_PER_HOST_MAX: Final = 3
# How often the pool looks for jobs that are due or long ended.
TICK_S: Final = 0.25


class PoolOwner:
    """The owner of one pool under one token, until it is fenced or stopped."""

    def __init__(self, context: NodeContext, pool: str, token: int, partition: int) -> None:
        self._context = context
        self._events = context.events
        self.pool = pool
        self.token = token
        self._progress_partition = Partition(PROGRESS_TOPIC, partition)
        self.jobs = PoolJobs()
        self._journal = Journal(
            context.store, self._progress_partition, f"pool/{pool}", token, context.events
        )
        self._progress: dict[str, JobProgress] = {}
        self._is_recorded = asyncio.Event()
        self._batches_taken = 0
        self._batches_recorded = 0
        self._has_unrecorded = asyncio.Event()
        self._is_changed = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._host_tasks: dict[str, asyncio.Task[None]] = {}
        self._order_slots: dict[str, asyncio.Semaphore] = {}
        self.fenced = asyncio.Event()
        self.is_open = False

    async def start(self) -> None:
        """Shut out older owners, load what they recorded, and begin."""
        await self._journal.open()
        await self._load_progress()
        await self._context.read_inbox_to_end()
        self._context.job_index.listen(self._take_job)
        self._context.host_directory.listen(self._update_hosts)
        self._update_hosts()
        self.is_open = True
        self._spawn(self._record())
        self._spawn(self._schedule())
        self._events.write(
            "pool_opened",
            pool=self.pool,
            token=self.token,
            job_count=len(self.jobs.jobs),
            host_count=len(self.jobs.hosts),
        )

    async def stop(self) -> None:
        """Stop owning: no order is made after this returns."""
        if self.is_open:
            self._context.job_index.unlisten(self._take_job)
            self._context.host_directory.unlisten(self._update_hosts)
        self.is_open = False
        tasks = [*self._tasks, *self._host_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._events.write("pool_closed", pool=self.pool, token=self.token)

    def get_status(self, job_id: str) -> JobStatus | None:
        """Return what a caller may be told of a job, or None for an unknown one."""
        job = self.jobs.jobs.get(job_id)
        return None if job is None else job.shown_status

    def count_pending(self) -> dict[str, int]:
        """Count, by queue, the jobs of which nothing has begun."""
        return Counter(
            job.spec.queue
            for job in self.jobs.jobs.values()
            if job.shown_status is JobStatus.QUEUED and not job.spec.is_timed
        )

    async def _load_progress(self) -> None:
        newest = await _retry_store(
            lambda: self._context.store.read_newest(self._progress_partition)
        )
        for record in newest.records:
            if record.value is None:
                continue
            try:
                progress = decode_progress(record.value)
            except msgspec.MsgspecError as error:
                self._events.write("record_malformed", key=record.key, error=str(error))
                continue
            self._progress[progress.job_id] = progress

    def _take_job(self, indexed: IndexedJob) -> None:
        spec = indexed.spec
        if spec.pool != self.pool:
            return
        job = self.jobs.jobs.get(spec.job_id)
        if job is None:
            progress = self._progress.pop(spec.job_id, None)
            policy = self._get_policy(spec.queue)
            job = self.jobs.add_job(spec, policy, indexed.offset, progress)
            self._restore_stops(job)
            self._events.write(
                "job_taken", job=job.id, pool=self.pool, queue=spec.queue, offset=indexed.offset
            )
        if indexed.is_cancelled:
            self.jobs.cancel(job, _get_wall_ms())
        self.jobs.open_due(job, _get_wall_ms())
        self._wake()

    def _restore_stops(self, job: Job) -> None:
        if job.status.is_final:
            for task in list(job.iter_running()):
                for run in list(task.runs):
                    self.jobs.stop(run)

    def _get_policy(self, queue: str) -> QueuePolicy:
        config = self._context.config_holder.config
        found = config.queues.get(queue) if config is not None else None
        return found or QueuePolicy(queue, "", "", self.pool, attempts_max=1)

    def _wake(self) -> None:
        self._is_changed.set()
        if self.jobs.unrecorded:
            self._has_unrecorded.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._guard(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except (HostFencedError, StoreFencedError) as error:
            self._events.write(
                "pool_fenced", pool=self.pool, token=self.token, error=type(error).__name__
            )
            self.fenced.set()
        except Exception as error:
            self._events.write("task_failed", pool=self.pool, error=repr(error))
            self.fenced.set()
            raise

    async def _record(self) -> None:
        """Record progress, and send what has been recorded."""
        while True:
            await self._has_unrecorded.wait()
            self._has_unrecorded.clear()
            jobs = self.jobs.take_unrecorded()
            if not jobs:
                continue
            self._batches_taken += 1
            statuses = [(job, job.status) for job in jobs]
            runs = [
                run
                for job in jobs
                for task in job.iter_running()
                for run in task.runs
                if run.phase is RunPhase.RECORDING
            ]
            await self._journal.write([KeyedRecord(job.id, encode_progress(job)) for job in jobs])
            self._batches_recorded += 1
            recorded, self._is_recorded = self._is_recorded, asyncio.Event()
            recorded.set()
            for job, status in statuses:
                self._show(job, status)
            for run in runs:
                if run.phase is RunPhase.RECORDING:
                    run.phase = RunPhase.SENDING
                    self._spawn(self._send_start(run))

    def _show(self, job: Job, status: JobStatus) -> None:
        if status.is_final and not job.recorded_status.is_final:
            self._events.write("job_ended", job=job.id, pool=self.pool, status=status.value)
        job.recorded_status = status

    async def _schedule(self) -> None:
        """Place waiting tasks and send stops whenever something has changed."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await asyncio.wait_for(self._is_changed.wait(), TICK_S)
            except TimeoutError:
                self._tick()
            self._is_changed.clear()
            place_waiting(self.jobs, loop.time())
            for run in self.jobs.to_stop:
                self._spawn(self._send_stop(run))
            self.jobs.to_stop.clear()
            if self.jobs.unrecorded:
                self._has_unrecorded.set()

    def _tick(self) -> None:
        now_ms = _get_wall_ms()
        for job in list(self.jobs.jobs.values()):
            if not job.status.is_final and job.next_occurrence < job.occurrence_count:
                self.jobs.open_due(job, now_ms)

    def _update_hosts(self) -> None:
        listed = self._context.host_directory.hosts
        for record in listed.values():
            if record.pool == self.pool:
                self.jobs.add_host(record)
                if record.id not in self._host_tasks:
                    self._order_slots[record.id] = asyncio.Semaphore(ORDERS_PER_HOST_MAX)
                    self._host_tasks[record.id] = asyncio.get_running_loop().create_task(
                        self._guard(self._follow_host(self.jobs.hosts[record.id]))
                    )
        for host_id in [host_id for host_id in self._host_tasks if host_id not in listed]:
            self._drop_host(host_id)
        self._wake()

    def _drop_host(self, host_id: str) -> None:
        task = self._host_tasks.pop(host_id, None)
        if task is not None:
            task.cancel()
        self.jobs.remove_host(host_id, _get_wall_ms())
        self._wake()

    async def _follow_host(self, host: Host) -> None:
        """Keep one host under lease and take in what it says, until it is gone."""
        loop = asyncio.get_running_loop()
        wait_s = 0.0
        while True:
            asked_at_s = loop.time()
            lease_until_ms = self._make_lease(host) if host.is_answering else None
            try:
                report = await self._context.hosts.watch(
                    host.record, self.token, host.acknowledged, lease_until_ms, wait_s
                )
            except HostGoneError:
                self._events.write("host_replaced", host=host.id, pool=self.pool)
                self.jobs.lapse_host(host, _get_wall_ms())
                host.is_answering = False
                self._wake()
                await asyncio.sleep(WATCH_WAIT_S)
                continue
            except (HostNoAnswerError, HostUnreachableError, HostUnhealthyError) as error:
                self._lose(host, error)
                await asyncio.sleep(HOST_RETRY_PAUSE_S)
                wait_s = 0.0
                continue
            wait_s = await self._take_report(host, report, asked_at_s)

    def _lose(self, host: Host, error: Exception) -> None:
        """Note that a host does not answer; its tasks lapse with its lease."""
        now_s = asyncio.get_running_loop().time()
        if host.is_answering:
            host.is_answering = False
            self._events.write(
                "host_lost",
                host=host.id,
                pool=self.pool,
                error=type(error).__name__,
                lease_over_in_s=round(host.lease_over_at_s - now_s, 3),
            )
        if host.is_fenced and host.runs and now_s > host.lease_over_at_s:
            self._events.write("host_lapsed", host=host.id, pool=self.pool, runs=len(host.runs))
            self.jobs.lapse_host(host, _get_wall_ms())
            self._wake()

    async def _take_report(self, host: Host, report: HostReport, asked_at_s: float) -> float:
        """Take a report in; return how long the next one may wait for an end."""
        loop = asyncio.get_running_loop()
        if not host.is_answering:
            self._events.write("host_heard", host=host.id, pool=self.pool)
        was_leased = host.is_answering
        host.is_answering = host.is_fenced = True
        host.clock_ms = report.clock_ms
        host.clock_read_at_s = host.last_answer_at_s = loop.time()
        is_new = self._apply_report(host, report, asked_at_s)
        self._wake()
        if is_new:
            host.processed = max(ended.number for ended in report.ended)
            # The batch under way, if any, lacks these ends.
            host.processed_batch = self._batches_taken + bool(self.jobs.unrecorded)
        if host.processed == host.acknowledged:
            return WATCH_WAIT_S if was_leased else 0.0
        if await self._wait_recorded(host.processed_batch):
            host.acknowledged = host.processed
            return WATCH_WAIT_S
        return 0.0

    async def _wait_recorded(self, batch: int) -> bool:
        """Wait for a batch to be recorded, but not so long that leases would lapse."""
        deadline_s = asyncio.get_running_loop().time() + RECORD_WAIT_S
        while self._batches_recorded < batch:
            left_s = deadline_s - asyncio.get_running_loop().time()
            if left_s <= 0 or not await wait_for_event(self._is_recorded, left_s):
                return False
        return True

    def _apply_report(self, host: Host, report: HostReport, asked_at_s: float) -> bool:
        now_ms, now_s = _get_wall_ms(), asyncio.get_running_loop().time()
        is_new = False
        for ended in report.ended:
            if ended.number <= host.processed:
                continue
            is_new = True
            run = host.runs.get((ended.task, ended.run))
            if run is not None:
                self._events.write(
                    "run_ended",
                    job=ended.task.job_id,
                    task=ended.task,
                    run=ended.run,
                    host=host.id,
                    end=ended.end.value,
                )
                self.jobs.end_run(run, ended.end, ended.checkpoint, now_ms)
        present = set()
        for running in report.running:
            key = (running.task, running.run)
            present.add(key)
            run = host.runs.get(key)
            if run is None:
                self._stop_stranger(host, running.task, running.run)
                continue
            run.checkpoint = running.checkpoint
            run.progress_percent = running.progress_percent
            run.recent_load = running.recent_load
            self.jobs.confirm_start(run, now_s)
        for run in [run for key, run in host.runs.items() if key not in present]:
            if run.confirmed_at_s and asked_at_s > run.confirmed_at_s:
                self._events.write("run_missing", task=run.task, run=run.number, host=host.id)
                self.jobs.drop_unsent(run)
        return is_new

    def _stop_stranger(self, host: Host, task: Any, run: int) -> None:
        self._events.write("stranger_stopped", host=host.id, task=task, run=run)
        self._spawn(self._stop_once(host, task, run))

    async def _stop_once(self, host: Host, task: Any, run: int) -> None:
        try:
            await self._context.hosts.stop(host.record, task, run, self.token)
        except HostFencedError:
            raise
        except Exception as error:
            self._events.write("stop_failed", host=host.id, task=task, error=repr(error))

    def _make_lease(self, host: Host) -> int | None:
        """Return the end of the host's lease on its clock, and note when it is over here."""
        if host.clock_ms is None:
            return None
        now_s = asyncio.get_running_loop().time()
        lease_ms = min(LEASE_MS, self._context.settings.bounds.lease_max_ms)
        elapsed_ms = (now_s - host.clock_read_at_s) * 1000 * (1 - CLOCK_SLOW_SHARE)
        over_in_s = lease_ms / 1000 / (1 - CLOCK_SLOW_SHARE) + LAPSE_MARGIN_S
        host.lease_over_at_s = max(host.lease_over_at_s, now_s + over_in_s)
        return int(host.clock_ms + elapsed_ms + lease_ms)

    async def _send_start(self, run: Run) -> None:
        """Send a start until the host has answered it."""
        host = self.jobs.hosts.get(run.host_id)
        job = self.jobs.jobs.get(run.task.job_id)
        if host is None or job is None:
            return
        async with self._order_slots[host.id]:
            for _ in range(START_TRIES):
                if run.phase is not RunPhase.SENDING or host.id not in self.jobs.hosts:
                    return
                lease_until_ms = self._make_lease(host)
                if lease_until_ms is None:
                    break
                order = StartOrder(
                    run.task,
                    run.number,
                    job.spec.text,
                    lease_until_ms,
                    self.token,
                    run.checkpoint,
                )
                try:
                    await self._context.hosts.start(host.record, order)
                except HostFencedError:
                    raise
                except NoRoomError:
                    host.room_rejected_until_s = (
                        asyncio.get_running_loop().time() + ROOM_REJECTED_PAUSE_S
                    )
                    self._reject(run, host, "no room")
                    return
                except HostUnhealthyError as error:
                    host.unhealthy_until_s = asyncio.get_running_loop().time() + UNHEALTHY_PAUSE_S
                    self._reject(run, host, str(error))
                    return
                except (StartRejectedError, HostGoneError) as error:
                    self._reject(run, host, f"{type(error).__name__}: {error}")
                    return
                except (HostNoAnswerError, HostUnreachableError) as error:
                    self._events.write(
                        "start_unanswered",
                        task=run.task,
                        run=run.number,
                        host=host.id,
                        error=type(error).__name__,
                    )
                    continue
                self.jobs.confirm_start(run, asyncio.get_running_loop().time())
                return
        self.jobs.stop(run)
        self._wake()

    def _reject(self, run: Run, host: Host, reason: str) -> None:
        self._events.write(
            "start_rejected", task=run.task, run=run.number, host=host.id, reason=reason
        )
        if run.phase is RunPhase.SENDING:
            self.jobs.drop_unsent(run)
        self._wake()

    async def _send_stop(self, run: Run) -> None:
        """Stop a run until the host has answered it."""
        while True:
            host = self.jobs.hosts.get(run.host_id)
            if host is None or run.key not in host.runs or run.host_id not in self._order_slots:
                return
            try:
                async with self._order_slots[host.id]:
                    await self._context.hosts.stop(host.record, run.task, run.number, self.token)
            except HostFencedError:
                raise
            except Exception as error:
                self._events.write(
                    "stop_unanswered",
                    task=run.task,
                    run=run.number,
                    host=host.id,
                    error=type(error).__name__,
                )
                await asyncio.sleep(HOST_RETRY_PAUSE_S)
                continue
            run.confirmed_at_s = asyncio.get_running_loop().time()
            return


async def _retry_store(make_call: Any) -> Any:
    while True:
        try:
            return await make_call()
        except StoreError:
            await asyncio.sleep(HOST_RETRY_PAUSE_S)


def _get_wall_ms() -> int:
    return int(time.time() * 1000)
