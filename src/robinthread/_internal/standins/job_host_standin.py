"""In-memory stand-in for a job host: runs tasks under leases, timed by its own clock."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from robinthread._internal.jobs.host_errors import (
    HostFencedError,
    NoRoomError,
    RunTooOldError,
    StartTooLateError,
    TicketRejectedError,
)
from robinthread._internal.models.host_report import EndedRun, HostReport, RunEnd, RunningTask
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.standins.checkpoints import (
    CheckpointPlan,
    get_delay_s,
    get_done_s,
    make_checkpoint,
)
from robinthread._internal.standins.cold_speed import WARM
from robinthread._internal.standins.gang_registry import GangMember, GangRegistry
from robinthread._internal.standins.run_ledger import STRAY_WINDOW_S, LedgerRun, RunLedger
from robinthread._internal.utils.waiting import wait_for_event

STOP_S: Final = 0.2
# Upper limit of a lease, counted from now; a longer lease is shortened to it.
LEASE_MAX_MS: Final = 10_000
# A report lists this many ends at most, like that of the platform's hosts.
ENDS_PER_REPORT_MAX: Final = 500
# Within this time after a host's capacity shrinks, all nodes must know the new capacity: the
# time in which an entry host learns of a change, plus one heartbeat.
CAPACITY_KNOWN_AFTER_S: Final = 4.5


@dataclass(frozen=True)
class TaskPlan:
    """How a task behaves: its work time, its outcome and its resources.

    ``work_s`` is None for a lasting task.  If ``gang_size`` is set, the task starts work
    once that many tasks of its step are present under the same run number.  If
    ``crashes_after_s`` is set, the task crashes its host that long after its start, even
    if it has not started work.  A task without ``checkpoints`` keeps none.
    """

    work_s: float | None
    resources: Resources = NO_RESOURCES
    end: RunEnd = RunEnd.DONE
    gang_size: int = 0
    crashes_after_s: float | None = None
    checkpoints: CheckpointPlan | None = None


@dataclass
class _PresentRun:
    order: StartOrder
    plan: TaskPlan
    ledger_run: LedgerRun
    began_at_s: float
    is_stopping: bool = False
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


class JobHostStandin:
    """One incarnation of a host; its reports contain ``host_started_at_ms`` if that is set."""

    def __init__(
        self,
        record: UpstreamHost,
        ledger: RunLedger,
        plan_task: Callable[[TaskKey], TaskPlan],
        gangs: GangRegistry,
        accepts_ticket: Callable[[StartOrder], bool] = lambda order: True,
        checks_capacity: Callable[[], bool] = lambda: True,
        take_down: Callable[[str], None] = lambda host_id: None,
        host_started_at_ms: int | None = None,
        ends_per_report_max: int = ENDS_PER_REPORT_MAX,
    ) -> None:
        self.record = record
        self._host_started_at_ms = host_started_at_ms
        self._ends_per_report_max = ends_per_report_max
        self._take_down = take_down
        self._gangs = gangs
        self._accepts_ticket = accepts_ticket
        self._checks_capacity = checks_capacity
        self._earlier_capacities: list[tuple[float, Resources]] = []
        self.is_up = True
        self.cold_speed = WARM
        self.fails_all = False
        self.crashes_all_after_s: float | None = None
        self._ledger = ledger
        self._plan_task = plan_task
        self._began_at_s = asyncio.get_running_loop().time()
        self._token = 0
        self._first_poll_at_s: float | None = None
        self._lease_until_ms = 0
        self._present: dict[tuple[TaskKey, int], _PresentRun] = {}
        self._ended: list[EndedRun] = []
        self._ledger_ends: dict[int, LedgerRun] = {}
        self._highest_run: dict[TaskKey, int] = {}
        self._end_count = 0
        self._last_lapsed_end = 0
        self._changed = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Return the time on the host's own clock, which starts at 0."""
        return int((asyncio.get_running_loop().time() - self._began_at_s) * 1000)

    def start(self, order: StartOrder, is_own: bool = True) -> int:
        """Start a run, or raise one of the host's errors; return the host's clock.

        ``is_own`` is false for an order that was sent to an earlier incarnation.  The texts
        of the errors are the reason codes of the hosts' protocol.
        """
        is_stray = not is_own and self._is_in_stray_window()
        self._check_token(order.token)
        self._extend_lease(order.lease_until_ms)
        key = (order.task, order.run)
        if key in self._present:
            return self.clock_ms
        if order.run <= self._highest_run.get(order.task, 0):
            raise RunTooOldError("old", self.clock_ms)
        if self.clock_ms > order.lease_until_ms:
            raise StartTooLateError("late")
        if not self._accepts_ticket(order):
            raise TicketRejectedError("ticket")
        plan = self._plan_task(order.task)
        required = sum(
            (present.plan.resources for present in self._present.values()), start=plan.resources
        )
        if not required.fits_in(self.record.capacity) and self._checks_capacity():
            raise NoRoomError("room", self.clock_ms)
        if not any(required.fits_in(assumed) for assumed in self._list_assumed_capacities()):
            self._ledger.over_capacity.append(
                f"{order.task} run {order.run}: runs on {self.record.id} need {required} in all, "
                "over its capacity"
            )
        self._begin(order, plan, is_stray)
        return self.clock_ms

    def stop(self, task: TaskKey, run: int, token: int) -> None:
        """Stop a run; if it has not started, reject its start from now on."""
        self._check_token(token)
        present = self._present.get((task, run))
        if present is None:
            self._highest_run[task] = max(run, self._highest_run.get(task, 0))
        elif not present.is_stopping:
            present.is_stopping = True
            loop = asyncio.get_running_loop()
            present.timers.append(loop.call_later(STOP_S, self._end, (task, run), RunEnd.STOPPED))

    def pace(self, token: int) -> None:
        """Accept a pace order; tasks of the stand-in don't change their pace."""
        self._check_token(token)

    def poll(
        self, token: int, acknowledged: int, lease_until_ms: int | None, listed_above: int = 0
    ) -> HostReport:
        """Acknowledge ended runs, extend the lease and return a report.

        The report lists the first ended runs with numbers above ``listed_above``.
        """
        self._check_token(token)
        if self._first_poll_at_s is None:
            self._first_poll_at_s = asyncio.get_running_loop().time()
        for end in self._ended:
            if end.number <= acknowledged:
                self._ledger_ends[end.number].is_acknowledged = end.number > self._last_lapsed_end
        self._ended = [end for end in self._ended if end.number > acknowledged]
        if lease_until_ms is not None:
            self._extend_lease(lease_until_ms)
        listed = [end for end in self._ended if end.number > listed_above]
        return HostReport(
            self.clock_ms,
            tuple(
                RunningTask(
                    present.order.task,
                    present.order.run,
                    self._get_checkpoint(present),
                    self._progress(present),
                    0,
                )
                for present in self._present.values()
                if not present.is_stopping
            ),
            tuple(listed[: self._ends_per_report_max]),
            self._host_started_at_ms,
            lists_all_ends=len(listed) < self._ends_per_report_max,
        )

    async def wait_for_end(self, wait_s: float) -> None:
        """Wait up to ``wait_s`` for an ended run; return at once if one is unacknowledged."""
        if not self._ended:
            await wait_for_event(self._changed, wait_s)

    def resize(self, record: UpstreamHost) -> None:
        """Change the capacity to that of ``record``."""
        now_s = asyncio.get_running_loop().time()
        self._earlier_capacities.append((now_s, self.record.capacity))
        self.record = record

    def _list_assumed_capacities(self) -> list[Resources]:
        """Return the capacities that a node may assume: the current one and recent ones."""
        since_s = asyncio.get_running_loop().time() - CAPACITY_KNOWN_AFTER_S
        return [
            self.record.capacity,
            *(assumed for at_s, assumed in self._earlier_capacities if at_s > since_s),
        ]

    def crash(self) -> None:
        """End this incarnation and all its runs."""
        self.is_up = False
        now_s = asyncio.get_running_loop().time()
        for present in self._present.values():
            for timer in present.timers:
                timer.cancel()
            present.ledger_run.ended_at_s, present.ledger_run.end = now_s, "crashed"
        self._present.clear()
        # Callers that wait for a run's end are woken up, as by a broken connection.
        self._changed.set()

    def _begin(self, order: StartOrder, plan: TaskPlan, is_stray: bool) -> None:
        loop = asyncio.get_running_loop()
        ledger_run = LedgerRun(
            order.task,
            order.run,
            self.record.id,
            loop.time(),
            is_stray=is_stray,
            resources=plan.resources,
            hall=self.record.hall,
        )
        self._ledger.add(ledger_run)
        present = _PresentRun(order, plan, ledger_run, loop.time())
        self._present[order.task, order.run] = present
        if self.crashes_all_after_s is not None:
            loop.call_later(self.crashes_all_after_s, self._take_down, self.record.id)
        if plan.crashes_after_s is not None:
            present.timers.append(loop.call_later(plan.crashes_after_s, self._crash_host, present))
        if self.fails_all:
            present.timers.append(
                loop.call_later(0.05, self._end, (order.task, order.run), RunEnd.FAILED)
            )
        elif plan.gang_size:
            key = (order.task, order.run)
            self._gangs.join(
                key,
                plan.gang_size,
                GangMember(lambda: self._work(present), lambda end: self._end(key, end)),
            )
        else:
            self._work(present)

    def _crash_host(self, present: _PresentRun) -> None:
        present.ledger_run.crashed_its_host = True
        self._take_down(self.record.id)

    def _work(self, present: _PresentRun) -> None:
        """Start the work of a run; the run ends after ``work_s`` unless its task is lasting."""
        order, plan = present.order, present.plan
        if plan.work_s is not None:
            loop = asyncio.get_running_loop()
            left_s = plan.work_s - get_done_s(order.checkpoint)
            left_s += get_delay_s(plan.checkpoints, order.checkpoint)
            duration_s = self.cold_speed.get_duration_s(left_s, loop.time())
            present.timers.append(
                loop.call_later(duration_s, self._end, (order.task, order.run), plan.end)
            )

    def _end(self, key: tuple[TaskKey, int], end: RunEnd) -> None:
        present = self._present.pop(key, None)
        if present is None:
            return
        for timer in present.timers:
            timer.cancel()
        task, run = key
        self._highest_run[task] = max(run, self._highest_run.get(task, 0))
        self._end_count += 1
        present.ledger_run.ended_at_s = asyncio.get_running_loop().time()
        present.ledger_run.end = end.value
        checkpoint = self._get_checkpoint(present)
        self._ended.append(EndedRun(self._end_count, task, run, end, checkpoint))
        self._ledger_ends[self._end_count] = present.ledger_run
        self._changed.set()
        self._changed = asyncio.Event()
        if present.plan.gang_size:
            self._gangs.leave(key, end)

    def _is_in_stray_window(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self._first_poll_at_s is None or now_s <= self._first_poll_at_s + STRAY_WINDOW_S

    def _check_token(self, token: int) -> None:
        if token < self._token:
            raise HostFencedError("fence")
        self._token = token

    def _extend_lease(self, lease_until_ms: int) -> None:
        lease_until_ms = min(lease_until_ms, self.clock_ms + LEASE_MAX_MS)
        if lease_until_ms <= self._lease_until_ms:
            return
        self._lease_until_ms = lease_until_ms
        delay_s = max(0.0, (lease_until_ms - self.clock_ms) / 1000)
        asyncio.get_running_loop().call_later(delay_s + 0.001, self._end_if_lapsed)

    def _end_if_lapsed(self) -> None:
        if self.is_up and self.clock_ms >= self._lease_until_ms:
            for key in list(self._present):
                self._end(key, RunEnd.LAPSED)
            # Acknowledgements of these ends arrive too late to count: their tasks may already
            # run elsewhere.
            self._last_lapsed_end = self._end_count

    def _progress(self, present: _PresentRun) -> int:
        if present.plan.work_s is None:
            return 100
        now_s = asyncio.get_running_loop().time()
        worked_s = self.cold_speed.get_done_s(present.began_at_s, now_s)
        worked_s -= get_delay_s(present.plan.checkpoints, present.order.checkpoint)
        done_s = get_done_s(present.order.checkpoint) + max(0.0, worked_s)
        return min(99, int(100 * done_s / present.plan.work_s))

    def _get_checkpoint(self, present: _PresentRun) -> str:
        present_s = asyncio.get_running_loop().time() - present.began_at_s
        return make_checkpoint(present.plan.checkpoints, present.order.checkpoint, present_s)
