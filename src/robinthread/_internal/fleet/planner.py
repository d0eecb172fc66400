"""The fleet planner, which decides the orders for the fleet's machines.

A pool gets hosts from the reserve, whose machines are off and cost nothing, as soon as its tasks
need them.  It returns hosts that it has not needed for a while.  Upkeep is done in the reserve
when a machine passes through it, and in a pool only if it would be late otherwise.
"""

from collections import Counter
from typing import Final

from robinthread._internal.fleet.evacuated_halls import exclude_evacuated_halls, list_evacuated
from robinthread._internal.fleet.fleet_view import (
    FleetPlan,
    FleetView,
    MoveOrder,
    PoolView,
    UpkeepOrder,
)
from robinthread._internal.fleet.host_counts import (
    count_all,
    count_awaited,
    count_free,
    count_missing,
    count_serving,
)
from robinthread._internal.fleet.pool_report import HostStatus
from robinthread._internal.fleet.reserve import Reserve, list_unmet_shortages
from robinthread._internal.fleet.sizing import (
    HOSTS_MIN,
    PoolSize,
    get_pool_size,
)
from robinthread._internal.fleet.upkeep_choice import choose_for_upkeep, order_upkeep
from robinthread._internal.fleet.upkeep_slots import UpkeepSlots
from robinthread._internal.fleet.vacated_machines import order_vacated
from robinthread._internal.fleet.work_sizing import get_empty_s, size_by_work
from robinthread._internal.models.machine import Machine
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.settings.policy_settings import FleetPolicy

# A pool releases hosts after it has had spare ones for this time.  A move costs about as much as
# 1.1 s of a host; fetching the host again costs a second move and 1.5 s of waiting.
SURPLUS_HOLD_S: Final = 0.4


class FleetPlanner:
    """Plans the orders for machines, step by step.

    It keeps state between steps: since when each pool has had spare hosts, and which machines the
    pools are vacating.
    """

    def __init__(self, policy: FleetPolicy) -> None:
        self._policy = policy
        self._surplus_since_s: dict[str, float] = {}
        self._vacating: dict[str, frozenset[str]] = {}
        # The vacating machines that leave only because of an order under way.  The order may be
        # an earlier steward's and end soon, so they are chosen again in each step.
        self._leaving_by_order: dict[str, frozenset[str]] = {}
        self._is_short = False

    def plan(self, view: FleetView, now_s: float) -> FleetPlan:
        """Return the plan for the current view of the fleet: orders, vacating machines, sizes."""
        view = exclude_evacuated_halls(view)
        pending = frozenset().union(*(wave.pending for wave in view.waves))
        capacity = _get_largest_capacity(view)
        wanted = {pool.name: get_pool_size(pool.report, capacity) for pool in view.pools}
        sizes = self._limit_sizes(view, wanted, capacity)
        reserve = Reserve(view, pending)
        slots = UpkeepSlots(view.waves)
        orders: list[MoveOrder | UpkeepOrder] = []
        if self._policy.upkeep_first:
            # A machine that moves to a pool before its upkeep may not be back in the reserve in
            # time.
            orders += order_upkeep(view, reserve, slots)
        self._is_short = self._lacks_hosts(view, sizes, capacity)
        self._vacating = {
            pool.name: self._choose_vacating(view, pool, pending, sizes[pool.name], now_s)
            for pool in view.pools
        }
        acquired = self._acquire(view, reserve, sizes)
        orders += [
            MoveOrder(machine, pool) for pool, machines in acquired.items() for machine in machines
        ]
        shortages = self._count_shortages(view, acquired, sizes, capacity)
        spare_counts = {
            pool.name: count_serving(pool, self._vacating[pool.name], view.leaving)
            - sizes[pool.name].keep_count
            for pool in view.pools
        }
        orders += order_vacated(
            view, self._vacating, spare_counts, slots, shortages, self._policy.moves_directly
        )
        if not self._policy.upkeep_first:
            orders += order_upkeep(view, reserve, slots)
        return FleetPlan(
            tuple(orders), self._vacating, wanted, sizes, self._list_vacated_at_once(view, pending)
        )

    def _lacks_hosts(
        self, view: FleetView, sizes: dict[str, PoolSize], capacity: Resources
    ) -> bool:
        """Tell whether the pools lack hosts, before machines to vacate are chosen.

        If hosts are allotted by work, the free machines of the reserve can make up for some.
        Otherwise a pool also releases hosts while the reserve has some.
        """
        missing_count = sum(
            count_missing(
                view, pool, sizes[pool.name], self._vacating.get(pool.name, frozenset()), capacity
            )
            for pool in view.pools
        )
        return missing_count > (count_free(view) if self._allots_by_work(view) else 0)

    def _acquire(
        self, view: FleetView, reserve: Reserve, sizes: dict[str, PoolSize]
    ) -> dict[str, list[str]]:
        """Take machines that pools lack from the reserve; return their names by pool.

        Pools that request the most processor time come first.
        """
        acquired: dict[str, list[str]] = {}
        for pool in sorted(view.pools, key=lambda pool: -pool.report.fetch_resources[0]):
            machines = reserve.take_for(list_unmet_shortages(pool.report.shortages, pool.arriving))
            serving = count_serving(pool, self._vacating[pool.name], view.leaving)
            awaited = count_awaited(view, pool)
            fetch_count = sizes[pool.name].fetch_count
            machines += reserve.take(fetch_count - serving - awaited - len(machines))
            acquired[pool.name] = machines
        return acquired

    def _count_shortages(
        self,
        view: FleetView,
        acquired: dict[str, list[str]],
        sizes: dict[str, PoolSize],
        capacity: Resources,
    ) -> Counter[str]:
        """Return how many hosts each pool lacks besides the ``acquired`` machines.

        The order is that of ``acquired``: of pools with equal shortages the first gets machines.
        """
        pools = {pool.name: pool for pool in view.pools}
        shortages: Counter[str] = Counter()
        for name, machines in acquired.items():
            missing = count_missing(view, pools[name], sizes[name], self._vacating[name], capacity)
            shortages[name] = max(0, missing - len(machines))
        return shortages

    def _list_vacated_at_once(
        self, view: FleetView, pending: frozenset[str]
    ) -> dict[str, frozenset[str]]:
        """Return the vacating machines that another pool needs, if hosts are allotted by work."""
        if not self._is_short or not self._allots_by_work(view):
            return {}
        return {
            pool: vacating - pending - view.leaving for pool, vacating in self._vacating.items()
        }

    def _limit_sizes(
        self, view: FleetView, wanted: dict[str, PoolSize], capacity: Resources
    ) -> dict[str, PoolSize]:
        """Return the sizes that the pools may have, for machines of a ``capacity``."""
        wanted_count = sum(size.keep_count for size in wanted.values())
        if not self._allots_by_work(view) or wanted_count <= count_all(view):
            return wanted
        return size_by_work(view, wanted, capacity, count_free(view))

    def _allots_by_work(self, view: FleetView) -> bool:
        return self._policy.allots_by_work and view.has_workspaces and bool(view.reserve_pool)

    def _choose_vacating(
        self,
        view: FleetView,
        pool: PoolView,
        pending: frozenset[str],
        size: PoolSize,
        now_s: float,
    ) -> frozenset[str]:
        """Return the machines that a pool should vacate.

        Machines that waiting tasks need are vacated only for an order or for upkeep.
        """
        present = {host.machine: host for host in pool.hosts if host.is_usable}
        departing = frozenset(name for name in present if name in view.leaving)
        needed = frozenset(name for name, host in present.items() if host.is_needed)
        chosen = self._vacating.get(pool.name, frozenset())
        chosen -= self._leaving_by_order.get(pool.name, frozenset())
        vacating = chosen & present.keys() - needed
        serving = count_serving(pool, vacating, view.leaving)
        if serving < size.keep_count:
            # Hosts that are still in the pool serve sooner than hosts that are fetched.
            retained = sorted(vacating - departing, key=lambda name: (name in pending, name))
            vacating -= frozenset(retained[: size.keep_count - serving])
        spare = count_serving(pool, vacating, view.leaving) - size.keep_count
        if spare <= 0:
            self._surplus_since_s.pop(pool.name, None)
        elif now_s - self._surplus_since_s.setdefault(pool.name, now_s) >= self._get_hold_s():
            staying = vacating | needed | list_evacuated(view, pool)
            candidates = (host for name, host in present.items() if name not in staying)
            leaving = sorted(candidates, key=lambda host: _get_leaving_order(host, pending))
            if view.reserve_pool:
                vacating |= frozenset(host.machine for host in leaving[:spare])
        self._leaving_by_order[pool.name] = departing - vacating
        vacating |= departing
        is_replaceable = spare + count_free(view) > 0
        return vacating | self._choose_for_upkeep(
            view, pool, vacating, pending, size, is_replaceable
        )

    def _get_hold_s(self) -> float:
        """Return how long spare machines stay in a pool that may need them again.

        That is 0 s if another pool is short of machines and machines move directly.
        """
        return 0.0 if self._is_short and self._policy.moves_directly else SURPLUS_HOLD_S

    def _choose_for_upkeep(
        self,
        view: FleetView,
        pool: PoolView,
        vacating: frozenset[str],
        pending: frozenset[str],
        size: PoolSize,
        is_replaceable: bool,
    ) -> frozenset[str]:
        """Return the machines that a pool should vacate for upkeep, although it needs them."""
        # Hosts of evacuated halls are vacated in any case.  They may be busy for long, and other
        # machines of the wave must not wait for them.
        pending -= list_evacuated(view, pool)
        due = [host for host in pool.hosts if host.is_usable and host.machine in pending]
        due.sort(key=lambda host: _get_leaving_order(host, pending))
        is_idle = size.keep_count <= max(HOSTS_MIN, pool.report.hosts_min)
        return choose_for_upkeep(
            view,
            due,
            started_count=len(vacating & pending),
            is_replaceable=is_replaceable,
            is_idle=is_idle,
            upkeep_first=self._policy.upkeep_first,
        )


def _get_leaving_order(
    host: HostStatus, pending: frozenset[str]
) -> tuple[bool, int, float, int, str]:
    """Return a sort key for hosts to release.

    Hosts due for upkeep come first, then hosts with few lasting tasks, hosts that are empty
    soon, if their owner reports that, and hosts with few runs.
    """
    empty_s = 0.0 if host.empty_in_ms is None else get_empty_s(host)
    return (host.machine not in pending, host.lasting_count, empty_s, host.run_count, host.machine)


def _get_largest_capacity(view: FleetView) -> Resources:
    machines: list[Machine] = [
        *view.reserve,
        *(machine for pool in view.pools for machine in pool.machines.values()),
    ]
    # A pool gets no machine of an evacuated hall, unless all halls are evacuated.
    others = [machine for machine in machines if machine.hall not in view.evacuated_halls]
    capacities = [machine.capacity for machine in others or machines]
    return max(capacities, key=lambda capacity: capacity.cpu_millicores, default=NO_RESOURCES)
