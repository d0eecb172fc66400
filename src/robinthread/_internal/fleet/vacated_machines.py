"""Orders for machines that their pools have vacated."""

from collections import Counter
from collections.abc import Collection, Mapping
from itertools import chain

from robinthread._internal.fleet.evacuated_halls import is_evacuated
from robinthread._internal.fleet.fleet_view import FleetView, MoveOrder, PoolView, UpkeepOrder
from robinthread._internal.fleet.pool_report import HostStatus
from robinthread._internal.fleet.upkeep_choice import is_short_of_time
from robinthread._internal.fleet.upkeep_slots import UpkeepSlots
from robinthread._internal.models.machine import Machine, MachineState


def order_vacated(
    view: FleetView,
    vacating: Mapping[str, frozenset[str]],
    spare_counts: Mapping[str, int],
    slots: UpkeepSlots,
    shortages: Counter[str],
    moves_directly: bool,
) -> list[MoveOrder | UpkeepOrder]:
    """Return orders for vacated machines: a move to another pool or the reserve, or upkeep.

    If the pool can spare a machine that is due, its upkeep is done in the reserve, which
    costs nothing.  Machines of evacuated halls move to the reserve in any case, unless they get
    upkeep at once.  ``spare_counts`` is by how many hosts each pool exceeds its size; it is
    negative if the pool lacks hosts.  ``shortages`` is the number of machines that each pool
    lacks; each direct move to a pool lowers it.
    """
    orders = (
        _order_one(view, pool, host, spare_counts[pool.name] >= 0, slots, shortages, moves_directly)
        for pool in view.pools
        for host in pool.hosts
        if _is_vacated(host, vacating[pool.name], view.ordered)
    )
    return [order for order in orders if order is not None]


def _order_one(
    view: FleetView,
    pool: PoolView,
    host: HostStatus,
    has_spare: bool,
    slots: UpkeepSlots,
    shortages: Counter[str],
    moves_directly: bool,
) -> MoveOrder | UpkeepOrder | None:
    """Return the order for a vacated machine, or None if it stays in its pool for now."""
    must_leave = is_evacuated(view, pool, host.machine)
    wave = next((wave for wave in view.waves if host.machine in wave.pending), None)
    if wave is None:
        if not view.reserve_pool:
            return None
        if must_leave:
            return MoveOrder(host.machine, view.reserve_pool)
        return MoveOrder(host.machine, _choose_target(view, pool, shortages, moves_directly))
    may_leave = (has_spare or must_leave) and not is_short_of_time(wave)
    if view.reserve_pool and may_leave:
        return MoveOrder(host.machine, view.reserve_pool)
    if slots.allocate(host.machine):
        return UpkeepOrder(host.machine, wave.number)
    if view.reserve_pool and must_leave:
        return MoveOrder(host.machine, view.reserve_pool)
    return None


def list_vacated(
    machines: Mapping[str, Machine], working_pools: Collection[str], view: FleetView
) -> frozenset[str]:
    """Return the machines that run no task and get none as long as their owner vacates them.

    Machines that are not up, or are in a reserve, have no host.
    """
    without_host = (
        name
        for name, machine in machines.items()
        if machine.state is not MachineState.UP or machine.pool not in working_pools
    )
    vacated = (
        host.machine
        for pool in view.pools
        for host in pool.hosts
        if host.is_vacating and not host.run_count
    )
    return frozenset(chain(without_host, vacated))


def _is_vacated(host: HostStatus, vacating: frozenset[str], ordered: frozenset[str]) -> bool:
    return (
        host.machine in vacating
        and host.machine not in ordered
        and host.is_vacating
        and not host.run_count
    )


def _choose_target(
    view: FleetView, pool: PoolView, shortages: Counter[str], moves_directly: bool
) -> str:
    """Return the pool that a vacated machine moves to: the one that lacks the most machines.

    That is the reserve if no pool lacks machines, or if machines do not move directly.
    """
    others = Counter({name: shortage for name, shortage in shortages.items() if name != pool.name})
    (name, shortage), *_rest = others.most_common(1) or [("", 0)]
    if shortage <= 0 or not moves_directly:
        return view.reserve_pool
    shortages[name] -= 1
    return name
