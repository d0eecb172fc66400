"""Which machines the planner moves, empties and keeps up."""

from dataclasses import replace

from testtools import TestCase

from robinthread._internal.fleet.fleet_view import (
    FleetPlan,
    FleetView,
    MoveOrder,
    PoolView,
    UpkeepOrder,
    WaveView,
)
from robinthread._internal.fleet.planner import FleetPlanner
from robinthread._internal.fleet.pool_report import HostStanding, PoolReport
from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.models.resources import Resources
from robinthread._internal.settings.policy_settings import FleetPolicy

ROOM = Resources(16_000, 32_000, 0)
RESERVE = "reserve"
ALL = FleetPolicy(upkeep_first=True, moves_directly=True)


def make_machine(name: str, pool: str) -> Machine:
    """Make a machine that is up."""
    return Machine(name, pool, MachineState.UP, "hall", "r", "a", ROOM, f"host-{name}")


def make_pool(pool: str, names: str, cores: int, busy: str = "", vacating: str = "") -> PoolView:
    """Make a pool of machines that needs so many cores; each letter is a machine."""
    hosts = tuple(
        HostStanding(name, f"host-{name}", True, name in vacating, int(name in busy), 0)
        for name in names
    )
    room = (1000 * cores, 0, 0)
    report = PoolReport(True, room, room, hosts)
    return PoolView(pool, report, {name: make_machine(name, pool) for name in names}, 0)


def make_view(*pools: PoolView, reserve: str = "", waves: tuple[WaveView, ...] = ()) -> FleetView:
    """Make a view; each letter of ``reserve`` is a machine there."""
    free = tuple(make_machine(name, RESERVE) for name in reserve)
    return FleetView(pools, RESERVE, free, frozenset(), waves)


def plan_twice(policy: FleetPolicy, view: FleetView) -> FleetPlan:
    """Plan, have the pools confirm what they empty, and plan again a second later."""
    planner = FleetPlanner(policy)
    vacating = frozenset().union(*planner.plan(view, 0.0).vacate.values())
    vacating |= frozenset().union(*planner.plan(view, 1.0).vacate.values())
    pools = tuple(_confirm(pool, vacating) for pool in view.pools)
    return planner.plan(replace(view, pools=pools), 1.1)


def _confirm(pool: PoolView, vacating: frozenset[str]) -> PoolView:
    hosts = tuple(
        HostStanding(host.machine, host.host_id, True, host.machine in vacating, host.run_count, 0)
        for host in pool.report.hosts
    )
    report = PoolReport(True, pool.report.fetch_room, pool.report.keep_room, hosts)
    return replace(pool, report=report)


class UpkeepTest(TestCase):
    wave = WaveView(1, frozenset("xy"), 2, 0, left_s=100.0)

    def test_machine_that_is_due_is_kept_up_before_a_pool_may_take_it(self) -> None:
        view = make_view(make_pool("hot", "ab", 160), reserve="xyz", waves=(self.wave,))
        orders = FleetPlanner(ALL).plan(view, 0.0).orders
        self.assertIn(UpkeepOrder("x", 1), orders)
        self.assertIn(UpkeepOrder("y", 1), orders)
        self.assertIn(MoveOrder("z", "hot"), orders)

    def test_no_more_begin_than_may_be_down(self) -> None:
        wave = replace(self.wave, down_count=1)
        view = make_view(make_pool("hot", "ab", 160), reserve="xy", waves=(wave,))
        orders = FleetPlanner(ALL).plan(view, 0.0).orders
        self.assertEqual(1, sum(isinstance(order, UpkeepOrder) for order in orders))

    def test_switched_off_the_pool_takes_it_first(self) -> None:
        view = make_view(make_pool("hot", "ab", 160), reserve="xy", waves=(self.wave,))
        orders = FleetPlanner(FleetPolicy(upkeep_first=False)).plan(view, 0.0).orders
        self.assertEqual({"x", "y"}, {o.machine for o in orders if isinstance(o, MoveOrder)})

    def test_what_would_be_late_is_emptied_though_nothing_replaces_it(self) -> None:
        wave = WaveView(1, frozenset("a"), 2, 0, left_s=5.0)
        view = make_view(make_pool("hot", "ab", 160, busy="ab"), waves=(wave,))
        self.assertEqual(frozenset("a"), FleetPlanner(ALL).plan(view, 0.0).vacate["hot"])
        off = FleetPlanner(FleetPolicy(upkeep_first=False))
        self.assertEqual(frozenset(), off.plan(view, 0.0).vacate["hot"])

    def test_what_would_be_late_is_kept_up_where_it_is(self) -> None:
        wave = WaveView(1, frozenset("a"), 2, 0, left_s=5.0)
        view = make_view(make_pool("calm", "abcd", 0), waves=(wave,))
        self.assertIn(UpkeepOrder("a", 1), plan_twice(ALL, view).orders)


class DirectMoveTest(TestCase):
    def test_spare_machine_goes_straight_to_the_pool_that_lacks_most(self) -> None:
        view = make_view(
            make_pool("cold", "abcd", 0), make_pool("hot", "ef", 160), make_pool("warm", "gh", 48)
        )
        moves = [order for order in plan_twice(ALL, view).orders if isinstance(order, MoveOrder)]
        self.assertEqual(["hot", "hot"], [move.pool for move in moves])

    def test_it_goes_to_the_reserve_where_none_lacks(self) -> None:
        view = make_view(make_pool("cold", "abcd", 0), make_pool("calm", "ef", 0))
        moves = [order for order in plan_twice(ALL, view).orders if isinstance(order, MoveOrder)]
        self.assertEqual({RESERVE}, {move.pool for move in moves})

    def test_switched_off_it_goes_by_way_of_the_reserve(self) -> None:
        view = make_view(make_pool("cold", "abcd", 0), make_pool("hot", "ef", 160))
        policy = FleetPolicy(moves_directly=False)
        moves = [o for o in plan_twice(policy, view).orders if isinstance(o, MoveOrder)]
        self.assertEqual({RESERVE}, {move.pool for move in moves})

    def test_spare_machines_are_let_go_at_once_only_while_a_pool_lacks_some(self) -> None:
        short = make_view(make_pool("cold", "abcd", 0), make_pool("hot", "ef", 160))
        self.assertEqual(2, len(FleetPlanner(ALL).plan(short, 0.0).vacate["cold"]))
        calm = make_view(make_pool("cold", "abcd", 0), make_pool("calm", "ef", 0))
        self.assertEqual(0, len(FleetPlanner(ALL).plan(calm, 0.0).vacate["cold"]))
