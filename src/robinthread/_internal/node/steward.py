"""The steward, which gives all orders for the machines of the fleet."""

import asyncio
from typing import Any, Final

from robinthread._internal.durable.errors import StoreError, StoreFencedError
from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.newest_reader import NewestReader
from robinthread._internal.durable.order_records import ORDERS_PARTITION
from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.durable.wave_records import WAVES_PARTITION
from robinthread._internal.fleet.fleet_view import FleetPlan, FleetView
from robinthread._internal.fleet.machine_errors import MachineError
from robinthread._internal.fleet.new_machines import FIRST_REPORT_MAX_S
from robinthread._internal.fleet.planner import FleetPlanner
from robinthread._internal.fleet.pool_report import (
    VACATED_FOR_S,
    FleetReportRequest,
    PoolReport,
    ReportTime,
)
from robinthread._internal.fleet.sizing import PoolSize
from robinthread._internal.fleet.vacated_machines import list_vacated
from robinthread._internal.models.fleet_config import FleetConfig
from robinthread._internal.node.context import NodeContext
from robinthread._internal.node.environment import NodeEnvironment
from robinthread._internal.node.evacuation_reporter import EvacuationReporter
from robinthread._internal.node.fleet_view_builder import FleetViewBuilder
from robinthread._internal.node.machine_orders import MachineOrders
from robinthread._internal.node.node_settings import NodeBounds
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.peer_calls import PeerUnreachableError
from robinthread._internal.node.pool_runtime import get_loop_s
from robinthread._internal.node.share_allocator import ShareAllocator
from robinthread._internal.node.upkeep_reporter import UpkeepReporter
from robinthread._internal.node.wave_publisher import WavePublisher
from robinthread._internal.node.wave_tracker import WaveTracker
from robinthread._internal.telemetry.gathered_lines import LISTED_NAMES_MAX
from robinthread._internal.utils.error_text import describe_error

# Interval at which the pools' status reports are requested and the fleet is planned.
STEP_S: Final = 0.1
# Interval at which the machines are listed; each list has a cost, and the steward knows most
# changes from its own orders.
LIST_PERIOD_S: Final = 0.3
# Failed steps in a row after which another steward may do better.
FAILED_STEPS_MAX: Final = 5
# Pause before a failed read of the store or a failed step is retried.
RETRY_PAUSE_S: Final = 0.3
# Subtracted from the time for which owners vacate machines: an order reaches the platform by then.
ORDER_MARGIN_S: Final = 0.5
# A pool's owner is to expect a host from HOST_EARLY_S before to HOST_LATE_S after the time at which
# the move of its machine should be over.
HOST_EARLY_S: Final = 0.15
HOST_LATE_S: Final = 0.6


class Steward:
    """Gives the orders for machines, under one fencing token.

    It orders a machine only if the owner of its pool has drained it, or if it is in the
    reserve.  Machines that an earlier steward may have ordered recently get no order until
    ``wait_s`` has passed.
    """

    def __init__(
        self,
        context: NodeContext,
        environment: NodeEnvironment,
        table: OwnerTable,
        owned: OwnedPools,
        me: Member,
        token: int,
        wait_s: float,
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
        limits = context.settings.store.record_limits

        def make_journal(partition: Partition) -> Journal:
            return Journal(context.store, partition, "steward", token, context.events, limits)

        self._wave_journal = make_journal(WAVES_PARTITION)
        self._status_journal = make_journal(self._records.status_partition)
        self._orders_journal = make_journal(ORDERS_PARTITION)
        self._planner = FleetPlanner(context.policy.fleet)
        self._share_allocator = ShareAllocator(
            token, context.policy.workspaces.kept_share, get_loop_s(), context.events
        )
        self._failed_steps = 0
        self._listed_at_s = -LIST_PERIOD_S
        # When owners made their last reports, and those before the last list of machines.
        self._reported: dict[str, ReportTime | None] = {}
        self._listed_after: dict[str, ReportTime | None] = {}
        self._sizes: dict[str, PoolSize] = {}
        self._vacate: dict[str, frozenset[str]] = {}
        self._vacate_at_once: dict[str, frozenset[str]] = {}
        self._upkeep_reporter = UpkeepReporter(context.events)
        self._evacuation_reporter = EvacuationReporter(context.events)
        self.fenced = asyncio.Event()
        self._waves = WaveTracker(
            self._wave_journal,
            self._status_journal,
            self._records,
            self._events,
            context.settings.bounds.machine_upkeep_s,
        )
        self._wave_publisher = WavePublisher(self._waves, self._events, self._mark_fenced)
        self._orders = MachineOrders(
            environment.machines,
            self._orders_journal,
            self._waves,
            self._events,
            f"{me.node}/{me.incarnation}",
            token,
            context.settings.bounds.steward_turn_ms / 1000,
            _get_settle_s(context.settings.bounds),
            wait_s,
            self._mark_fenced,
        )
        self._view_builder = FleetViewBuilder(context, self._orders, self._waves)

    async def run(self) -> None:
        """Plan and give orders until cancelled or fenced."""
        try:
            await self._wave_journal.open()
            await self._status_journal.open()
            await self._orders_journal.open()
            self._waves.load(await self._read_newest(WAVES_PARTITION))
            self._orders.load(await self._read_newest(ORDERS_PARTITION))
            if self._context.settings.bounds.evacuation_ms > 0:
                # This node may lag behind the operators' records: without this read, it could move
                # machines into a hall whose evacuation they request.
                await self._context.read_operators_to_end()
            self._log_start()
            while not self.fenced.is_set():
                await self._step_contained()
                await asyncio.sleep(STEP_S)
        except StoreFencedError:
            self._mark_fenced("StoreFencedError")

    async def _step_contained(self) -> None:
        """Do a step, and tolerate some in a row that fail, because each begins afresh."""
        try:
            await self._step()
            self._failed_steps = 0
        except StoreFencedError:
            raise
        except Exception as error:
            self._failed_steps += 1
            if self._failed_steps >= FAILED_STEPS_MAX:
                raise
            self._events.gather("steward_step_failed", token=self.token, **describe_error(error))
            await asyncio.sleep(RETRY_PAUSE_S)

    async def stop(self) -> None:
        """Cancel all orders and wait until they have ended."""
        self._events.write("steward_ended", token=self.token)
        await asyncio.gather(*self.cancel(), return_exceptions=True)

    def cancel(self) -> list[asyncio.Task[Any]]:
        """Cancel all that is in progress, and return the tasks."""
        return [*self._orders.cancel(), *self._wave_publisher.cancel()]

    def _log_start(self) -> None:
        """Log the start, with the state that was loaded from the previous steward."""
        waves = self._view_builder.list_waves()
        self._events.write(
            "steward_began",
            token=self.token,
            ordered_before=sorted(self._orders.previously_ordered)[:LISTED_NAMES_MAX],
            unsettled=sorted(self._orders.unsettled.get_waves())[:LISTED_NAMES_MAX],
            waves={wave.number: self._waves.count_begun(wave.number) for wave in waves},
            evacuated_halls=sorted(self._context.evacuations.halls),
        )

    async def _read_newest(self, partition: Partition) -> tuple[KeyedRecord, ...]:
        reader = NewestReader(self._context.store, partition)
        while True:
            try:
                return (await reader.read()).records
            except StoreError as error:
                self._events.write("store_unread", topic=partition.topic, error=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _step(self) -> None:
        is_listed = await self._list_machines()
        queried_at_s = get_loop_s()
        reports = await self._query_pools()
        config = self._context.config_holder.config
        if not is_listed or config is None:
            return
        self._wave_publisher.publish(self._view_builder.list_waves(), self._view_builder.machines)
        view = self._view_builder.build(reports)
        vacated = list_vacated(self._view_builder.machines, config.list_working_pools(), view)
        self._orders.confirm(vacated, queried_at_s + VACATED_FOR_S - ORDER_MARGIN_S)
        self._upkeep_reporter.report_down(view.waves, self._view_builder.machines)
        self._evacuation_reporter.report(view, self._view_builder.machines)
        plan = self._planner.plan(view, get_loop_s())
        for pool, machines in plan.vacate.items():
            if machines != self._vacate.get(pool, frozenset()):
                self._events.gather(
                    "machines_vacating",
                    by={"pool": pool},
                    machine_count=len(machines),
                    machines=sorted(machines)[:LISTED_NAMES_MAX],
                )
        self._vacate, self._vacate_at_once = plan.vacate, plan.vacate_at_once
        self._log_sizes(view, plan)
        self._upkeep_reporter.report_orders(view, plan.orders, get_loop_s() - self._listed_at_s)
        await self._orders.give(plan.orders)
        self._orders.drop_settled()

    def _log_sizes(self, view: FleetView, plan: FleetPlan) -> None:
        """Log each pool whose target size has changed."""
        for pool in view.pools:
            size = plan.sizes[pool.name]
            if self._sizes.get(pool.name) != size:
                self._sizes[pool.name] = size
                self._events.gather(
                    "pool_sized",
                    by={"pool": pool.name},
                    fetch_count=size.fetch_count,
                    keep_count=size.keep_count,
                    share_count=plan.shares[pool.name].keep_count,
                    usable=sum(host.is_usable for host in pool.hosts),
                    awaited=sum(host.is_awaited for host in pool.hosts),
                    arriving=len(pool.arriving),
                    vacating=len(plan.vacate[pool.name]),
                    lacking=size.shortage_count,
                    needed=sum(host.is_needed for host in pool.hosts),
                    fetch_room=pool.report.fetch_resources,
                    keep_room=pool.report.keep_resources,
                )

    async def _list_machines(self) -> bool:
        """List the machines if that is due; return whether a valid list is available."""
        requested_at_s = get_loop_s()
        if requested_at_s - self._listed_at_s < LIST_PERIOD_S:
            return True
        reported = dict(self._reported)
        try:
            listed = await self._machines.list_machines()
        except MachineError as error:
            self._events.write("machines_unread", error=f"{type(error).__name__}: {error}")
            return False
        self._listed_at_s = requested_at_s
        self._listed_after = reported
        self._view_builder.record_listing(listed, requested_at_s)
        return True

    async def _query_pools(self) -> dict[str, PoolReport]:
        holder = self._context.config_holder
        config = holder.config
        if config is None:
            return {}
        pools = config.list_working_pools()
        responses = await asyncio.gather(*(self._query_pool(pool, config) for pool in pools))
        reports = {
            pool: report for pool, report in zip(pools, responses, strict=True) if report.is_owner
        }
        self._reported = {pool: report.made_at for pool, report in reports.items()}
        self._share_allocator.record_reports(config, reports)
        self._share_allocator.decide(config, holder.limit_lowered_in, get_loop_s())
        return reports

    async def _query_pool(self, pool: str, config: FleetConfig) -> PoolReport:
        owner = self._table.get(pool)
        request = FleetReportRequest(
            pool,
            tuple(sorted(self._vacate.get(pool, ()))),
            self._expects_hosts(pool),
            self._view_builder.list_ended_hosts(pool),
            self._share_allocator.make_order(pool, config),
            tuple(sorted(self._vacate_at_once.get(pool, ()))),
            self._listed_after.get(pool),
        )
        if owner is None:
            return PoolReport(is_owner=False)
        if owner.owner == self._me:
            return self._owned.handle_fleet_report(request)
        try:
            return await self._peers.send_request(owner.owner.address, request, PoolReport)
        except PeerUnreachableError:
            return PoolReport(is_owner=False)

    def _expects_hosts(self, pool: str) -> bool:
        """Tell whether a machine is about to come up in a pool."""
        now_s = get_loop_s()
        move_s = self._context.settings.bounds.machine_move_s
        return any(
            -HOST_EARLY_S < now_s - moved_s - move_s < HOST_LATE_S
            for moved_s, moved_to in self._orders.moved.values()
            if moved_to == pool
        )

    def _mark_fenced(self, by: str) -> None:
        if not self.fenced.is_set():
            self._events.write("steward_fenced", token=self.token, by=by)
        self.fenced.set()


def _get_settle_s(bounds: NodeBounds) -> float:
    """Return the seconds after an order for which the next steward may have to know of it.

    That covers the minimum time between the orders of two stewards, and the time in which the
    machine may be moving or in upkeep and its host has not reported yet.
    """
    unavailable_s = max(bounds.machine_move_s, bounds.machine_upkeep_s)
    return max(bounds.steward_turn_ms / 1000, unavailable_s + FIRST_REPORT_MAX_S)
