"""Giving all orders for the fleet's machines."""

import asyncio
from typing import Any, Final

import msgspec

from robinthread._internal.durable.errors import StoreError, StoreFencedError
from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.order_records import (
    ORDERS_PARTITION,
    make_orders_record,
    parse_orders_record,
)
from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.durable.wave_records import (
    WAVES_PARTITION,
    make_wave_record,
    parse_wave_record,
)
from robinthread._internal.fleet.fleet_view import (
    FleetPlan,
    FleetView,
    MoveOrder,
    PoolView,
    UpkeepOrder,
    WaveView,
)
from robinthread._internal.fleet.machine_errors import (
    MachineBusyError,
    MachineError,
    MachineFencedError,
    MachineMisfitError,
    MachineNoAnswerError,
)
from robinthread._internal.fleet.planner import FleetPlanner
from robinthread._internal.fleet.pool_report import FleetQuestion, PoolReport
from robinthread._internal.fleet.sizing import PoolSize
from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.node.context import NodeContext
from robinthread._internal.node.environment import NodeEnvironment
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.peer_calls import PeerUnreachableError
from robinthread._internal.node.pool_runtime import get_loop_s

# How often the pools are asked how they stand, and the fleet is planned.
STEP_S: Final = 0.1
# How often the machines are listed; each list is paid for.  The steward's own orders
# tell most of what changes.
LIST_PERIOD_S: Final = 0.3
# Pause before an order without answer is given again.
RETRY_PAUSE_S: Final = 0.3
# How long a machine that was busy, or did not fit, gets no order.
BUSY_PAUSE_S: Final = 1.0
# How long a machine that is up may take to show in its pool: an entry in the store
# and a first look at it.
UNHEARD_MAX_S: Final = 3.0
# When a machine is looked out for, before and after its move should be over.
HOST_EARLY_S: Final = 0.15
HOST_LATE_S: Final = 0.6

Order = MoveOrder | UpkeepOrder


class Steward:
    """The one node that orders machines, under one token.

    It orders a machine only where its pool's owner has emptied it, or where it
    is in the reserve.  Machines that an earlier steward may just have ordered
    are left alone until ``turn_s`` has passed.
    """

    def __init__(
        self,
        context: NodeContext,
        environment: NodeEnvironment,
        table: OwnerTable,
        owned: OwnedPools,
        me: Member,
        token: int,
        turn_s: float,
    ) -> None:
        self._context = context
        self._events = context.events
        self._machines = environment.machines
        self._records = environment.records
        self._table = table
        self._owned = owned
        self._peers = environment.peers
        self._me = me
        self.token = token
        self._turn_s = turn_s
        writer = "steward"
        self._wave_journal = Journal(context.store, WAVES_PARTITION, writer, token, context.events)
        self._status_journal = Journal(
            context.store, self._records.status_partition, writer, token, context.events
        )
        self._orders_journal = Journal(
            context.store, ORDERS_PARTITION, writer, token, context.events
        )
        self._ordered_at_s: dict[str, float] = {}
        self._recorded: frozenset[str] = frozenset()
        self._planner = FleetPlanner()
        self._known: dict[str, Machine] = {}
        self._listed_at_s = -LIST_PERIOD_S
        self._orders: dict[str, Order] = {}
        self._moved: dict[str, tuple[float, str]] = {}
        self._done_at_s: dict[str, float] = {}
        self._unheard_since_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._begun: dict[int, set[str]] = {}
        self._seen_at_s: dict[int, float] = {}
        self._shown: dict[int, bool] = {}
        self._sizes: dict[str, PoolSize] = {}
        self._vacate: dict[str, frozenset[str]] = {}
        self.fenced = asyncio.Event()

    async def run(self) -> None:
        """Give orders until cancelled or fenced."""
        try:
            await self._wave_journal.open()
            await self._status_journal.open()
            await self._orders_journal.open()
            await self._load_waves()
            await self._load_orders()
            while not self.fenced.is_set():
                await self._step()
                await asyncio.sleep(STEP_S)
        except StoreFencedError:
            self._note_fenced("StoreFencedError")

    async def stop(self) -> None:
        """Give no more orders."""
        await asyncio.gather(*self.cancel(), return_exceptions=True)

    def cancel(self) -> list[asyncio.Task[Any]]:
        """Have all orders under way end, and return their tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks

    async def _read_newest(self, partition: Partition) -> tuple[KeyedRecord, ...]:
        while True:
            try:
                return (await self._context.store.read_newest(partition)).records
            except StoreError as error:
                self._events.write("store_unread", topic=partition.topic, error=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _load_orders(self) -> None:
        """Leave the machines alone for a while that the last steward ordered."""
        until_s = get_loop_s() + self._turn_s
        for record in await self._read_newest(ORDERS_PARTITION):
            for machine in parse_orders_record(record).machines:
                self._paused_until_s[machine] = until_s
                self._ordered_at_s[machine] = get_loop_s()

    async def _record_orders(self, orders: tuple[Order, ...]) -> None:
        """Record the machines that are about to be ordered, before they are."""
        if not orders:
            return
        now_s = get_loop_s()
        for order in orders:
            self._ordered_at_s[order.machine] = now_s
        recent = frozenset(
            name
            for name, ordered_s in self._ordered_at_s.items()
            if name in self._orders or now_s - ordered_s < self._turn_s
        )
        if not recent <= self._recorded:
            await self._orders_journal.write([make_orders_record(recent)])
            self._recorded = recent

    async def _load_waves(self) -> None:
        for record in await self._read_newest(WAVES_PARTITION):
            try:
                progress = parse_wave_record(record)
            except msgspec.MsgspecError as error:
                self._events.write("record_malformed", key=record.key, error=str(error))
                continue
            self._begun[progress.wave] = set(progress.begun)

    async def _step(self) -> None:
        if not await self._list_machines():
            return
        reports = await self._ask_pools()
        await self._show_waves()
        view = self._make_view(reports)
        plan = self._planner.plan(view, get_loop_s())
        for pool, machines in plan.vacate.items():
            if machines != self._vacate.get(pool, frozenset()):
                self._events.write("machines_vacating", pool=pool, machines=sorted(machines))
        self._vacate = plan.vacate
        self._note_sizes(view, plan)
        await self._record_orders(plan.orders)
        for order in plan.orders:
            self._give(order)

    def _note_sizes(self, view: FleetView, plan: FleetPlan) -> None:
        """Write a line for each pool whose size has changed."""
        for pool in view.pools:
            size = plan.sizes[pool.name]
            if self._sizes.get(pool.name) != size:
                self._sizes[pool.name] = size
                self._events.write(
                    "pool_sized",
                    pool=pool.name,
                    fetch_count=size.fetch_count,
                    keep_count=size.keep_count,
                    usable=sum(host.is_usable for host in pool.hosts),
                    arriving=pool.arriving,
                    vacating=len(plan.vacate[pool.name]),
                    fetch_room=pool.report.fetch_room,
                    keep_room=pool.report.keep_room,
                )

    async def _list_machines(self) -> bool:
        """List the machines if that is due; return whether the list is good."""
        asked_at_s = get_loop_s()
        if asked_at_s - self._listed_at_s < LIST_PERIOD_S:
            return True
        try:
            listed = await self._machines.list_machines()
        except MachineError as error:
            self._events.write("machines_unread", error=f"{type(error).__name__}: {error}")
            return False
        self._listed_at_s = asked_at_s
        self._known = {machine.name: machine for machine in listed}
        for name in [name for name, done_s in self._done_at_s.items() if done_s < asked_at_s]:
            # The list shows now what the order did.
            del self._done_at_s[name]
            self._orders.pop(name, None)
        return True

    async def _ask_pools(self) -> dict[str, PoolReport]:
        config = self._context.config_holder.config
        policies = config.pools.values() if config is not None else ()
        pools = [policy.name for policy in policies if not policy.is_reserve]
        reports = await asyncio.gather(*map(self._ask_pool, pools))
        return {
            pool: report for pool, report in zip(pools, reports, strict=True) if report.is_owner
        }

    async def _ask_pool(self, pool: str) -> PoolReport:
        owner = self._table.get(pool)
        question = FleetQuestion(
            pool, tuple(sorted(self._vacate.get(pool, ()))), self._expects_hosts(pool)
        )
        if owner is None:
            return PoolReport(is_owner=False)
        if owner.owner == self._me:
            return self._owned.answer_fleet(question)
        try:
            return await self._peers.ask(owner.owner.address, question, PoolReport)
        except PeerUnreachableError:
            return PoolReport(is_owner=False)

    def _expects_hosts(self, pool: str) -> bool:
        """Tell whether a machine is about to come up in a pool."""
        now_s = get_loop_s()
        move_s = self._context.settings.bounds.machine_move_s
        return any(
            -HOST_EARLY_S < now_s - moved_s - move_s < HOST_LATE_S
            for moved_s, moved_to in self._moved.values()
            if moved_to == pool
        )

    def _make_view(self, reports: dict[str, PoolReport]) -> FleetView:
        config = self._context.config_holder.config
        assert config is not None
        reserves = [pool.name for pool in config.pools.values() if pool.is_reserve]
        now_s = get_loop_s()
        paused = {name for name, until_s in self._paused_until_s.items() if now_s < until_s}
        return FleetView(
            pools=tuple(self._make_pool_view(pool, report) for pool, report in reports.items()),
            reserve_pool=reserves[0] if reserves else "",
            reserve=tuple(
                machine
                for machine in self._known.values()
                if machine.pool in reserves and machine.state is MachineState.UP
            ),
            ordered=frozenset(self._orders) | paused,
            waves=tuple(
                self._make_wave_view(wave)
                for wave in self._context.config_holder.waves.values()
                if self._get_pending(wave)
            ),
        )

    def _make_pool_view(self, pool: str, report: PoolReport) -> PoolView:
        machines = {
            machine.name: machine for machine in self._known.values() if machine.pool == pool
        }
        told = {host.host_id for host in report.hosts}
        coming = sum(
            isinstance(order, MoveOrder) and order.pool == pool for order in self._orders.values()
        )
        arriving = sum(
            machine.state in (MachineState.MOVING, MachineState.UPKEEP)
            or self._is_unheard(machine, told)
            for name, machine in machines.items()
            if name not in self._orders
        )
        return PoolView(pool, report, machines, arriving + coming)

    def _is_unheard(self, machine: Machine, told: set[str]) -> bool:
        """Tell whether a machine is up so newly that its pool has not heard of it."""
        if machine.state is not MachineState.UP or machine.host_id in told:
            self._unheard_since_s.pop(machine.name, None)
            return False
        since_s = self._unheard_since_s.setdefault(machine.name, get_loop_s())
        return get_loop_s() - since_s < UNHEARD_MAX_S

    def _get_pending(self, wave: UpkeepWave) -> frozenset[str]:
        """Return the machines that stay and whose upkeep has not begun."""
        begun = self._begun.get(wave.number, set())
        return frozenset(
            name for name in wave.machines if name not in begun and name in self._known
        )

    def _make_wave_view(self, wave: UpkeepWave) -> WaveView:
        seen_at_s = self._seen_at_s.setdefault(wave.number, get_loop_s())
        down = sum(
            self._known[name].state is MachineState.UPKEEP
            or isinstance(self._orders.get(name), UpkeepOrder)
            for name in wave.machines
            if name in self._known
        )
        left_s = seen_at_s + wave.duration_s - get_loop_s()
        return WaveView(wave.number, self._get_pending(wave), wave.at_once_max, down, left_s)

    async def _show_waves(self) -> None:
        """Write the status of each wave where it has changed."""
        for wave in list(self._context.config_holder.waves.values()):
            if not self._known:
                return
            is_done = not self._get_pending(wave)
            if self._shown.get(wave.number) is not is_done:
                await self._status_journal.write(
                    [self._records.make_wave_status(wave.number, is_done)]
                )
                self._shown[wave.number] = is_done
                self._events.write("wave_shown", wave=wave.number, is_done=is_done)

    def _give(self, order: Order) -> None:
        self._orders[order.machine] = order
        task = asyncio.get_running_loop().create_task(self._carry_out(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(self, order: Order) -> None:
        """Give an order until it is answered; one without answer may yet be done."""
        try:
            while not self.fenced.is_set():
                try:
                    await self._send(order)
                except MachineNoAnswerError as error:
                    self._note(order, f"no answer: {error}")
                    await asyncio.sleep(RETRY_PAUSE_S)
                    continue
                except MachineFencedError:
                    self._note_fenced("MachineFencedError")
                except MachineBusyError:
                    self._pause(order, "busy")
                except MachineMisfitError as error:
                    self._pause(order, f"does not fit: {error}")
                except MachineError as error:
                    self._pause(order, f"refused: {error}")
                else:
                    self._note(order, "done")
                    await self._note_done(order)
                return
        except StoreFencedError:
            self._note_fenced("StoreFencedError")
        finally:
            if order.machine not in self._done_at_s:
                self._orders.pop(order.machine, None)

    async def _send(self, order: Order) -> None:
        holder = f"{self._me.node}/{self._me.life}"
        if isinstance(order, MoveOrder):
            await self._machines.move(order.machine, order.pool, holder, self.token)
        else:
            await self._machines.begin_upkeep(order.machine, order.wave, holder, self.token)

    async def _note_done(self, order: Order) -> None:
        self._done_at_s[order.machine] = get_loop_s()
        if isinstance(order, MoveOrder):
            self._moved[order.machine] = (get_loop_s(), order.pool)
        if isinstance(order, UpkeepOrder):
            begun = self._begun.setdefault(order.wave, set())
            begun.add(order.machine)
            await self._wave_journal.write([make_wave_record(order.wave, begun)])

    def _pause(self, order: Order, reason: str) -> None:
        self._note(order, reason)
        self._paused_until_s[order.machine] = get_loop_s() + BUSY_PAUSE_S

    def _note(self, order: Order, outcome: str) -> None:
        target = {"to_pool": order.pool} if isinstance(order, MoveOrder) else {"wave": order.wave}
        self._events.write("machine_ordered", machine=order.machine, outcome=outcome, **target)

    def _note_fenced(self, by: str) -> None:
        if not self.fenced.is_set():
            self._events.write("steward_fenced", token=self.token, by=by)
        self.fenced.set()
