"""Builds the planner's view from the machine list, the pool reports and the open orders."""

from collections.abc import Mapping

from robinthread._internal.fleet.ended_incarnations import EndedIncarnations
from robinthread._internal.fleet.fleet_view import FleetView, MoveOrder, PoolView
from robinthread._internal.fleet.new_machines import NewMachines
from robinthread._internal.fleet.pool_report import PoolReport
from robinthread._internal.fleet.silent_halls import find_silent_halls
from robinthread._internal.models.fleet_config import FleetConfig
from robinthread._internal.models.host_incarnation import make_incarnation_id
from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.node.context import NodeContext
from robinthread._internal.node.machine_orders import MachineOrders
from robinthread._internal.node.pool_runtime import get_loop_s
from robinthread._internal.node.wave_tracker import WaveTracker


class FleetViewBuilder:
    """Builds views of the fleet; ``machines`` is the last machine list, by machine name."""

    def __init__(self, context: NodeContext, orders: MachineOrders, waves: WaveTracker) -> None:
        self._context = context
        self._orders = orders
        self._waves = waves
        self._new_machines = NewMachines()
        self._ended_incarnations = EndedIncarnations()
        self.machines: dict[str, Machine] = {}

    def record_listing(self, listed: tuple[Machine, ...], requested_at_s: float) -> None:
        """Apply a list of machines that was requested at ``requested_at_s``."""
        self.machines = {machine.name: machine for machine in listed}
        self._new_machines.record_listing(listed, self._orders.previously_ordered)
        self._orders.record_listing(requested_at_s)
        self._orders.unsettled.record_listing(self.machines)
        self._ended_incarnations.record_listing(self.machines, get_loop_s())

    def list_ended_hosts(self, pool: str) -> tuple[str, ...]:
        """Return the hosts of a pool that are confirmed to have ended recently."""
        if not self._context.policy.fleet.ends_lost_hosts:
            return ()
        return self._ended_incarnations.list_for_pool(pool)

    def list_waves(self) -> list[UpkeepWave]:
        """Return the maintenance waves that the operators published."""
        return list(self._context.config_holder.waves.values())

    def build(self, reports: Mapping[str, PoolReport]) -> FleetView:
        """Build a view from the current status reports of the pools' owners."""
        config = self._context.config_holder.config
        assert config is not None
        silent_halls: frozenset[str] = frozenset()
        if self._context.policy.fleet.avoids_silent_halls:
            silent_halls = find_silent_halls(reports.values(), self.machines)
        reserves = [pool.name for pool in config.pools.values() if pool.is_reserve]
        pools = tuple(
            self._make_pool_view(pool, report, silent_halls) for pool, report in reports.items()
        )
        incarnations = {
            host.host_id: make_incarnation_id(host.host_id, host.host_started_at_ms)
            for report in reports.values()
            for host in report.hosts
        }
        self._waves.record_observation(
            self.machines, lambda machine: self._find_incarnation(machine, config, incarnations)
        )
        return FleetView(
            pools=pools,
            reserve_pool=reserves[0] if reserves else "",
            reserve=tuple(
                machine
                for machine in self.machines.values()
                if machine.pool in reserves and machine.state is MachineState.UP
            ),
            ordered=self._orders.list_blocked(),
            leaving=self._orders.list_leaving(self.machines),
            waves=tuple(
                self._waves.make_view(
                    wave,
                    self._context.config_holder.wave_seen_at_s[wave.number],
                    self.machines,
                    self._orders.under_way,
                    self._orders.unsettled.get_waves(),
                )
                for wave in self.list_waves()
                if self._waves.get_pending(wave, self.machines)
            ),
            silent_halls=silent_halls,
            evacuated_halls=self._context.evacuations.halls,
            has_workspaces=bool(config.workspaces),
        )

    def _find_incarnation(
        self, machine: Machine, config: FleetConfig, incarnations: Mapping[str, str]
    ) -> str | None:
        """Return the incarnation of a machine's host: "" in a reserve, None if not reported yet."""
        pool = config.pools.get(machine.pool)
        if pool is not None and pool.is_reserve:
            return ""
        if not self._new_machines.is_reported(machine):
            return None
        return incarnations.get(machine.host_id, machine.host_id)

    def _make_pool_view(
        self, pool: str, report: PoolReport, silent_halls: frozenset[str]
    ) -> PoolView:
        machines = {
            machine.name: machine for machine in self.machines.values() if machine.pool == pool
        }
        self._new_machines.record_reported_hosts(host.host_id for host in report.hosts)
        now_s = get_loop_s()
        incoming = (
            self.machines[name]
            for name, order in self._orders.under_way.items()
            if isinstance(order, MoveOrder) and order.pool == pool and name in self.machines
        )
        arriving = (
            machine
            for name, machine in machines.items()
            if name not in self._orders.under_way
            and machine.hall not in silent_halls
            and (
                machine.state in (MachineState.MOVING, MachineState.UPKEEP)
                or self._new_machines.is_new(machine, now_s)
            )
        )
        return PoolView(pool, report, machines, (*incoming, *arriving))
