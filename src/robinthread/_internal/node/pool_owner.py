"""Owner of one pool, which schedules its jobs and sends all orders to its hosts."""

import asyncio
import math
from typing import Final

from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.released_leases import ReleasedLeases
from robinthread._internal.durable.settled_record import make_settled_record
from robinthread._internal.durable.store import Partition
from robinthread._internal.fleet.pool_report import (
    VACATED_FOR_S,
    FleetReportRequest,
    PoolReport,
    ReportTime,
)
from robinthread._internal.jobs.demand import DemandForecaster
from robinthread._internal.jobs.part_key import PartKey
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.scheduling import place_waiting
from robinthread._internal.jobs.suspects import clear_surviving_suspects
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.node.advice_fetcher import AdviceFetcher
from robinthread._internal.node.context import NodeContext
from robinthread._internal.node.hall_evacuations import HallEvacuations
from robinthread._internal.node.job_intake import JobIntake
from robinthread._internal.node.job_policies import JobPolicies
from robinthread._internal.node.lease_release import list_released
from robinthread._internal.node.order_sender import OrderSender
from robinthread._internal.node.outlook_updater import OutlookUpdater
from robinthread._internal.node.pool_hosts import PoolHosts
from robinthread._internal.node.pool_opening import OPERATORS, PoolOpening
from robinthread._internal.node.pool_reporting import (
    add_work,
    count_pending,
    log_crash_events,
    make_pool_report,
)
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.predecessors import Predecessors
from robinthread._internal.node.progress_loader import load_progress
from robinthread._internal.node.progress_recorder import ProgressRecorder
from robinthread._internal.node.retention import Retention
from robinthread._internal.node.run_monitor import RunMonitor
from robinthread._internal.node.unsent_starts import give_back_leaving
from robinthread._internal.node.workspace_limits import apply_workspace_limits
from robinthread._internal.utils.waiting import wait_for_event

PROGRESS_TOPIC: Final = "keyed.progress"
# After placing tasks, the owner pauses for this multiple of the time that the placement took, and
# then places all changes since then together.  Placement uses at most a quarter of a processor.
PLACING_PAUSE_FACTOR: Final = 3.0
# Maximum of that pause: a tenth of the overhead that callers accept beside the work itself.
PLACING_PAUSE_MAX_S: Final = 0.05
# Interval of checks for changes that depend on time alone, such as due jobs and hung runs.
TICK_S: Final = 0.2
# Age of a list of machines whose time is not stated: its period and two calls, with a margin.
ENDED_AGO_S: Final = 2.0
# Maximum wait for the last records of an owner whose stop is planned.
FLUSH_WAIT_S: Final = 0.5
# Time from a machine's arrival in the pool to the first task on it: its entry in the store and
# the first poll of its host.
HOST_START_S: Final = 0.3


class PoolOwner:
    """Owns one pool under one token, until it is fenced or stopped.

    ``predecessors`` are earlier owners, which may still run unaware that they were replaced.
    ``released_leases`` are the leases that it leaves once it has stopped; None if it did not open.
    """

    def __init__(
        self,
        context: NodeContext,
        pool: str,
        token: int,
        partition: int,
        predecessors: Predecessors,
    ) -> None:
        self._context = context
        self._events = context.events
        self.pool = pool
        self.token = token
        self._partition = Partition(PROGRESS_TOPIC, partition)
        self._part_keys: dict[str, list[PartKey]] = {}
        self._predecessors = predecessors
        self.jobs = PoolJobs(context.policy.placement)
        self.jobs.unix_offset_s = context.get_wall_ms() / 1000 - get_loop_s()
        self.jobs.gang_timeout_s = context.settings.bounds.gang_timeout_ms / 1000
        self._journal = Journal(
            context.store,
            self._partition,
            f"pool/{pool}",
            token,
            context.events,
            context.settings.store.record_limits,
        )
        self._runtime = PoolRuntime(context, pool, token, self.jobs, self._journal)
        self._orders = OrderSender(self._runtime)
        self._progress_recorder = ProgressRecorder(self._runtime, self._journal, self._orders)
        self._outlook_updater = OutlookUpdater(self._runtime)
        self._run_monitor = RunMonitor(self._runtime, self._orders)
        self._advice_fetcher = AdviceFetcher(self._runtime, context.advice)
        self._retention = Retention(self._runtime, self._journal)
        self._hosts = PoolHosts(self._runtime, self._progress_recorder, self._orders)
        self._update_hosts = self._runtime.guard_call("hosts", self._hosts.update)
        self.evacuations = HallEvacuations(self._runtime)
        self._policies = JobPolicies(self._runtime)
        self._demand = DemandForecaster(
            context.settings.bounds.machine_move_s + HOST_START_S, context.policy.demand
        )
        self._intake = JobIntake(self._runtime, self._policies, self._demand, lambda: self.is_open)
        self._reads_operators = context.settings.bounds.evacuation_ms > 0
        self.opening = PoolOpening((OPERATORS,) if self._reads_operators else ())
        self._is_stopped = False
        self.released_leases: ReleasedLeases | None = None
        self._is_subscribed = False
        self.is_open = False

    @property
    def has_stopped(self) -> bool:
        """Return whether the owner has stopped and sends no more orders."""
        return self._is_stopped

    @property
    def has_failed(self) -> bool:
        """Return whether an unexpected error made the owner give the pool up."""
        return self._runtime.has_failed

    @property
    def fenced(self) -> asyncio.Event:
        """Return the event that is set once the owner must stop permanently."""
        return self._runtime.fenced

    async def start(self) -> None:
        """Fence earlier owners, load their records and open the pool."""
        time = self.opening.time
        await asyncio.gather(
            self._load_progress(),
            time("inbox", self._context.read_inbox_to_end()),
            time("hosts", self._context.read_hosts_to_end()),
            self._read_operators(),
        )
        if self._is_stopped:
            return
        self.evacuations.start()
        self._is_subscribed = True
        self._context.job_index.subscribe(self._intake.take)
        self._context.host_directory.subscribe(self._update_hosts)
        self._hosts.update()
        self.is_open = True
        self.opening.end()
        self._runtime.opened_at_s = get_loop_s()
        orphans = self._intake.drain_orphans()
        self._runtime.spawn(self._retention.drop_orphans(orphans, self._part_keys))
        self._part_keys = {}
        self._runtime.spawn(self._retention.run())
        self._runtime.spawn(self._advice_fetcher.run())
        self._runtime.spawn(self._progress_recorder.run())
        self._runtime.spawn(self._schedule())
        self._runtime.wake()
        self._events.write(
            "pool_opened",
            pool=self.pool,
            token=self.token,
            job_count=len(self.jobs.jobs),
            host_count=len(self.jobs.hosts),
            progress_count=self._intake.loaded_count,
            earlier_leases_over_in_s=round(self.jobs.foreign_leases.over_at_s - get_loop_s(), 3),
            **self.opening.make_timing_fields(),
        )

    async def stop(self, is_planned: bool = False) -> None:
        """Stop the owner; it sends no order after this returns.

        A planned stop first records the latest progress, so that the next owner need not query
        it again.
        """
        if self._is_stopped:
            return
        if self._is_subscribed:
            self._is_subscribed = False
            self._context.job_index.unsubscribe(self._intake.take)
            self._context.host_directory.unsubscribe(self._update_hosts)
        if self.is_open:
            if is_planned and not self.fenced.is_set():
                await self._progress_recorder.flush(FLUSH_WAIT_S)
            # Starts are still sent while the last progress is recorded.
            self.evacuations.stop()
        has_opened, self.is_open = self.is_open, False
        self._is_stopped = True
        await self._runtime.cancel_all()
        if has_opened:
            longest_ms = self._context.settings.bounds.lease_max_ms
            self.released_leases = list_released(self.jobs, get_loop_s(), longest_ms)
        self._events.write("pool_closed", pool=self.pool, token=self.token, planned=is_planned)

    def cancel(self) -> None:
        """Cancel all tasks at once, without recording progress."""
        self._is_stopped = True
        self._runtime.cancel()

    def get_status(self, job_id: str) -> JobStatus | None:
        """Return the job status that callers may see, or None for an unknown job."""
        job = self.jobs.jobs.get(job_id)
        return None if job is None else job.shown_status

    def get_unconfirmed_s(self) -> float:
        """Return for how many seconds the store has not confirmed this owner."""
        return self._runtime.get_unconfirmed_s()

    def count_pending(self) -> dict[str, int]:
        """Return the number of jobs of which no task has started, by queue."""
        return count_pending(self.jobs)

    def report(self, request: FleetReportRequest) -> PoolReport:
        """Apply a steward's request, including hosts to empty, and return the pool's status."""
        now_s = get_loop_s()
        for host in self.jobs.hosts.values():
            is_vacating = host.record.machine in request.vacate
            host.vacating_until_s = now_s + VACATED_FOR_S if is_vacating else 0.0
            host.is_needed_elsewhere = host.record.machine in request.vacate_at_once
        give_back_leaving(self._runtime)
        self._runtime.wake()
        if request.expects_hosts:
            self._context.poll_hosts_faster()
        self._hosts.end_lost(request.ended, self._get_ended_by_s(request, now_s))
        apply_workspace_limits(self._runtime)
        share_state = self.jobs.workspaces.apply_order(request.shares)
        self._runtime.wake()
        now_ms = self._context.get_wall_ms()
        demand = self._demand.forecast(self.jobs, now_s, now_ms)
        made_at = ReportTime(self.token, now_s)
        report = make_pool_report(self.jobs, demand, now_s, share_state, made_at)
        config = self._context.config_holder.config
        is_used = self._context.policy.fleet.allots_by_work
        if config is None or not (is_used and config.may_allot_by_work):
            return report
        expected = self._demand.get_expected_work(now_s)
        return add_work(report, self.jobs, expected, now_s, now_ms)

    def _get_ended_by_s(self, request: FleetReportRequest, now_s: float) -> float:
        """Return a time by which the hosts that the steward reports had ended.

        The times of an earlier owner are of another clock.
        """
        if request.ended_by is None:
            return now_s - ENDED_AGO_S
        return request.ended_by.at_s if request.ended_by.token == self.token else -math.inf

    async def _read_operators(self) -> None:
        """Read the operators' records, where halls may be evacuated, before any start."""
        if self._reads_operators:
            await self.opening.time(OPERATORS, self._context.read_operators_to_end())

    async def _load_progress(self) -> None:
        """Fence earlier owners, then read their progress records and the inbox."""
        await self.opening.time("journal", self._journal.open())
        # From here on the store confirms no earlier owner.
        self._predecessors.mark_fenced(get_loop_s(), self.jobs.foreign_leases)
        self._runtime.spawn(self._settle_predecessors())
        reading = load_progress(self._context.store, self._partition, self.pool, self._events)
        loaded, _ = await asyncio.gather(
            self.opening.time("progress", reading),
            # The previous owner may have accepted and recorded jobs until now.
            self._context.read_inbox_to_end(),
        )
        self._predecessors.drop_settled(loaded.settled_before_token)
        self._intake.load(loaded.jobs)
        self._part_keys = loaded.part_keys

    async def _settle_predecessors(self) -> None:
        """Write a settled record once all leases granted by earlier owners have lapsed."""
        if self._predecessors.is_empty:
            return
        # Until the pool is open, its hosts' runs are unknown.
        await self._predecessors.poll_until_stopped(
            lambda: not self.is_open or self.jobs.has_silent_runs(), self._events
        )
        await asyncio.sleep(max(0.0, self.jobs.foreign_leases.over_at_s - get_loop_s()))
        await self._journal.write([make_settled_record(self.pool, self.token)])

    async def _schedule(self) -> None:
        """Place waiting tasks and send stops whenever something has changed."""
        next_tick_s = 0.0
        while True:
            now_s = get_loop_s()
            if now_s >= next_tick_s:
                next_tick_s = now_s + TICK_S
                self._run_monitor.check(now_s)
                self._hosts.end_unlisted(now_s)
                self.evacuations.report(now_s)
            began_at_s = get_loop_s()
            self.jobs.are_capacities_known = self._runtime.are_capacities_known()
            apply_workspace_limits(self._runtime)
            self._policies.update()
            self.jobs.fail_exhausted(self._context.get_wall_ms())
            clear_surviving_suspects(self.jobs, now_s)
            self.jobs.outlook = self._outlook_updater.update(now_s)
            place_waiting(self.jobs, now_s, self._context.get_wall_ms())
            log_crash_events(self._events, self.pool, self.jobs.crash_tracker.drain_events())
            stops, self.jobs.to_stop = self.jobs.to_stop, []
            for run in stops:
                self._runtime.spawn(self._orders.send_stop(run))
            if self.jobs.unrecorded:
                self._runtime.unrecorded.set()
            self._runtime.changed.clear()
            took_s = get_loop_s() - began_at_s
            await asyncio.sleep(min(PLACING_PAUSE_MAX_S, PLACING_PAUSE_FACTOR * took_s))
            await wait_for_event(self._runtime.changed, TICK_S)
