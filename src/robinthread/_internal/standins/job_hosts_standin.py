"""Job hosts in memory: they run tasks under leases on clocks of their own."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, TypeVar

from robinthread._internal.jobs.host_errors import (
    HostFencedError,
    HostGoneError,
    HostNoAnswerError,
    HostRefusedError,
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
from robinthread._internal.standins.call_faults import (
    CallFaults,
    CallRefusedError,
    CallUnansweredError,
)
from robinthread._internal.standins.gang_board import GangBoard, GangMember
from robinthread._internal.standins.run_ledger import LedgerRun, RunLedger
from robinthread._internal.utils.waiting import wait_for_event

ORDER_TIMEOUT_S: Final = 0.4
LATENCY_S: Final = 0.001
STOP_S: Final = 0.2

T = TypeVar("T")


@dataclass(frozen=True)
class TaskPlan:
    """How a task behaves: how long it works, how it ends, what room it takes.

    A task that lasts has no ``work_s``.  Where ``gang_size`` is set the task
    waits until so many tasks of its step are present under one run number.
    """

    work_s: float | None
    room: Resources = NO_RESOURCES
    end: RunEnd = RunEnd.DONE
    gang_size: int = 0


@dataclass
class _Present:
    order: StartOrder
    plan: TaskPlan
    ledger_run: LedgerRun
    began_at_s: float
    is_stopping: bool = False
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


class JobHostStandin:
    """One life of a host."""

    def __init__(
        self,
        record: UpstreamHost,
        ledger: RunLedger,
        plan_task: Callable[[TaskKey], TaskPlan],
        gangs: GangBoard,
        takes_ticket: Callable[[StartOrder], bool] = lambda order: True,
    ) -> None:
        self.record = record
        self._gangs = gangs
        self._takes_ticket = takes_ticket
        self.is_up = True
        self.fails_all = False
        self._ledger = ledger
        self._plan_task = plan_task
        self._began_at_s = asyncio.get_running_loop().time()
        self._token = 0
        self._lease_until_ms = 0
        self._present: dict[tuple[TaskKey, int], _Present] = {}
        self._ended: list[EndedRun] = []
        self._ledger_ends: dict[int, LedgerRun] = {}
        self._highest: dict[TaskKey, int] = {}
        self._end_count = 0
        self._lapsed_ends = 0
        self._changed = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Return the host's own clock."""
        return int((asyncio.get_running_loop().time() - self._began_at_s) * 1000)

    def start(self, order: StartOrder) -> int:
        """Start a run; see the host's errors."""
        self._check_token(order.token)
        self._extend(order.lease_until_ms)
        key = (order.task, order.run)
        if key in self._present:
            return self.clock_ms
        if order.run <= self._highest.get(order.task, 0):
            raise RunTooOldError("old")
        if self.clock_ms > order.lease_until_ms:
            raise StartTooLateError("late")
        if not self._takes_ticket(order):
            raise TicketRejectedError("ticket")
        plan = self._plan_task(order.task)
        taken = sum((present.plan.room for present in self._present.values()), start=plan.room)
        if not taken.fits_in(self.record.room):
            raise NoRoomError("room")
        self._begin(order, plan)
        return self.clock_ms

    def stop(self, task: TaskKey, run: int, token: int) -> None:
        """Stop a run, or have its start rejected from now on."""
        self._check_token(token)
        present = self._present.get((task, run))
        if present is None:
            self._highest[task] = max(run, self._highest.get(task, 0))
        elif not present.is_stopping:
            present.is_stopping = True
            loop = asyncio.get_running_loop()
            present.timers.append(loop.call_later(STOP_S, self._end, (task, run), RunEnd.STOPPED))

    def pace(self, token: int) -> None:
        """Accept an order on pace, which changes nothing here."""
        self._check_token(token)

    def look(self, token: int, acknowledged: int, lease_until_ms: int | None) -> HostReport:
        """Acknowledge ends, extend the lease and report."""
        self._check_token(token)
        for end in self._ended:
            if end.number <= acknowledged:
                self._ledger_ends[end.number].is_noted = end.number > self._lapsed_ends
        self._ended = [end for end in self._ended if end.number > acknowledged]
        if lease_until_ms is not None:
            self._extend(lease_until_ms)
        return HostReport(
            self.clock_ms,
            tuple(
                RunningTask(present.order.task, present.order.run, "", self._progress(present), 0)
                for present in self._present.values()
                if not present.is_stopping
            ),
            tuple(self._ended),
        )

    async def wait_for_end(self, wait_s: float) -> None:
        """Wait until a run ends, for a bounded time."""
        if not self._ended:
            await wait_for_event(self._changed, wait_s)

    def crash(self) -> None:
        """End this life with all that runs."""
        self.is_up = False
        now_s = asyncio.get_running_loop().time()
        for present in self._present.values():
            for timer in present.timers:
                timer.cancel()
            present.ledger_run.ended_at_s, present.ledger_run.end = now_s, "crashed"
        self._present.clear()

    def _begin(self, order: StartOrder, plan: TaskPlan) -> None:
        loop = asyncio.get_running_loop()
        ledger_run = LedgerRun(order.task, order.run, self.record.id, loop.time())
        self._ledger.add(ledger_run)
        present = _Present(order, plan, ledger_run, loop.time())
        self._present[order.task, order.run] = present
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

    def _work(self, present: _Present) -> None:
        """Have a run work until it ends by itself, if it does."""
        order, plan = present.order, present.plan
        if plan.work_s is not None:
            loop = asyncio.get_running_loop()
            present.timers.append(
                loop.call_later(plan.work_s, self._end, (order.task, order.run), plan.end)
            )

    def _end(self, key: tuple[TaskKey, int], end: RunEnd) -> None:
        present = self._present.pop(key, None)
        if present is None:
            return
        for timer in present.timers:
            timer.cancel()
        task, run = key
        self._highest[task] = max(run, self._highest.get(task, 0))
        self._end_count += 1
        present.ledger_run.ended_at_s = asyncio.get_running_loop().time()
        present.ledger_run.end = end.value
        self._ended.append(EndedRun(self._end_count, task, run, end, ""))
        self._ledger_ends[self._end_count] = present.ledger_run
        self._changed.set()
        self._changed = asyncio.Event()
        if present.plan.gang_size:
            self._gangs.leave(key, end)

    def _check_token(self, token: int) -> None:
        if token < self._token:
            raise HostFencedError("fence")
        self._token = token

    def _extend(self, lease_until_ms: int) -> None:
        if lease_until_ms <= self._lease_until_ms:
            return
        self._lease_until_ms = lease_until_ms
        delay_s = max(0.0, (lease_until_ms - self.clock_ms) / 1000)
        asyncio.get_running_loop().call_later(delay_s + 0.001, self._lapse)

    def _lapse(self) -> None:
        if self.is_up and self.clock_ms >= self._lease_until_ms:
            for key in list(self._present):
                self._end(key, RunEnd.LAPSED)
            # A note of these that comes now does not count: they may have run again.
            self._lapsed_ends = self._end_count

    def _progress(self, present: _Present) -> int:
        if present.plan.work_s is None:
            return 100
        elapsed_s = asyncio.get_running_loop().time() - present.began_at_s
        return min(99, int(100 * elapsed_s / present.plan.work_s))


class JobHostsStandin:
    """All hosts by address, with faults of the ways to them; ``looks`` counts looks by host."""

    def __init__(self, seed: int = 1) -> None:
        self.faults = CallFaults(seed, LATENCY_S)
        self.ledger = RunLedger()
        self.gangs = GangBoard()
        self.hosts: dict[str, JobHostStandin] = {}
        self.cut_ways: set[tuple[str, str]] = set()
        self.looks: Counter[str] = Counter()

    def connect(self, caller: str) -> "JobHostsClient":
        """Return the hosts as one caller reaches them."""
        return JobHostsClient(self, caller)

    def add(self, host: JobHostStandin) -> None:
        """Put a host at its address."""
        self.hosts[host.record.address] = host


class JobHostsClient:
    """One caller's calls; see ``HostCalls``."""

    def __init__(self, standin: JobHostsStandin, caller: str) -> None:
        self._standin = standin
        self._caller = caller

    async def watch(
        self,
        host: UpstreamHost,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> HostReport:
        """Ask what runs, waiting for an end."""
        self._standin.looks[host.id] += 1
        report = await self._call(
            host, lambda life: life.look(token, acknowledged, lease_until_ms), is_order=False
        )
        if wait_s <= 0 or report.ended:
            return report
        await self._find(host).wait_for_end(wait_s)
        return await self._call(host, lambda life: life.look(token, acknowledged, None), False)

    async def start(self, host: UpstreamHost, order: StartOrder) -> int:
        """Start a run."""
        return await self._call(host, lambda life: life.start(order))

    async def stop(self, host: UpstreamHost, task: TaskKey, run: int, token: int) -> None:
        """Stop a run."""
        await self._call(host, lambda life: life.stop(task, run, token))

    async def pace(
        self, host: UpstreamHost, task: TaskKey, run: int, percent: int, token: int
    ) -> None:
        """Slow a run down."""
        await self._call(host, lambda life: life.pace(token))

    async def _call(
        self, host: UpstreamHost, work: Callable[[JobHostStandin], T], is_order: bool = True
    ) -> T:
        if (self._caller, host.address) in self._standin.cut_ways:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            raise HostNoAnswerError("cut")
        faults = self._standin.faults
        try:
            return await faults.carry_out(
                self._caller, lambda: work(self._find(host)), ORDER_TIMEOUT_S, is_order
            )
        except (CallUnansweredError, CallRefusedError) as error:
            raise HostNoAnswerError("no answer") from error

    def _find(self, host: UpstreamHost) -> JobHostStandin:
        life = self._standin.hosts.get(host.address)
        if life is None or not life.is_up:
            raise HostRefusedError("nobody listens")
        if life.record.id != host.id:
            raise HostGoneError("another life")
        return life
