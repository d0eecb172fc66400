"""Which machines the planner moves, vacates and orders upkeep for."""

from dataclasses import replace

import msgspec
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
from robinthread._internal.fleet.pool_report import HostStatus, PoolReport, ShortageReport
from robinthread._internal.fleet.silent_halls import find_silent_halls
from robinthread._internal.fleet.sizing import PoolSize
from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.models.resources import Resources
from robinthread._internal.settings.policy_settings import FleetPolicy

HOST_CAPACITY = Resources(16_000, 32_000, 0)
RESERVE = "reserve"
ALL = FleetPolicy(upkeep_first=True, moves_directly=True)


def make_machine(name: str, pool: str) -> Machine:
    """Make a machine that is up."""
    return Machine(name, pool, MachineState.UP, "hall", "r", "a", HOST_CAPACITY, f"host-{name}")


def make_pool(pool: str, names: str, cores: int, busy: str = "", vacating: str = "") -> PoolView:
    """Make a pool that needs ``cores``; each letter of ``names`` is a machine."""
    hosts = tuple(
        HostStatus(name, f"host-{name}", True, name in vacating, int(name in busy), 0)
        for name in names
    )
    resources = (1000 * cores, 0, 0)
    report = PoolReport(True, resources, resources, hosts)
    return PoolView(pool, report, {name: make_machine(name, pool) for name in names})


def make_view(*pools: PoolView, reserve: str = "", waves: tuple[WaveView, ...] = ()) -> FleetView:
    """Make a view of the fleet; each letter of ``reserve`` is a machine of the reserve."""
    free = tuple(make_machine(name, RESERVE) for name in reserve)
    return FleetView(pools, RESERVE, free, frozenset(), waves)


def plan_until_vacated(policy: FleetPolicy, view: FleetView) -> FleetPlan:
    """Plan twice a second apart, have the pools confirm the vacating machines, and plan again."""
    planner = FleetPlanner(policy)
    vacating = frozenset().union(*planner.plan(view, 0.0).vacate.values())
    vacating |= frozenset().union(*planner.plan(view, 1.0).vacate.values())
    pools = tuple(_confirm(pool, vacating) for pool in view.pools)
    return planner.plan(replace(view, pools=pools), 1.1)


def plan_after_first_pool_vacated(view: FleetView) -> FleetPlan:
    """Plan, have the first pool confirm its vacating machines, and plan again."""
    planner = FleetPlanner(ALL)
    vacating = planner.plan(view, 0.0).vacate[view.pools[0].name]
    first = _confirm(view.pools[0], vacating)
    return planner.plan(replace(view, pools=(first, *view.pools[1:])), 0.1)


def _confirm(pool: PoolView, vacating: frozenset[str]) -> PoolView:
    hosts = tuple(
        HostStatus(host.machine, host.host_id, True, host.machine in vacating, host.run_count, 0)
        for host in pool.report.hosts
    )
    report = PoolReport(True, pool.report.fetch_resources, pool.report.keep_resources, hosts)
    return replace(pool, report=report)


def mark_hosts(pool: PoolView, needed: str = "", lasting: str = "") -> PoolView:
    """Mark hosts of a pool that waiting tasks need, and hosts that run one lasting task each."""
    hosts = tuple(
        msgspec.structs.replace(
            host, is_needed=host.machine in needed, lasting_count=int(host.machine in lasting)
        )
        for host in pool.report.hosts
    )
    separate_host_count = len(set(needed) - set(lasting))
    report = msgspec.structs.replace(
        pool.report, hosts=hosts, separate_host_count=separate_host_count
    )
    return replace(pool, report=report)


def with_shortages(pool: PoolView, *shortages: ShortageReport, hosts_min: int = 0) -> PoolView:
    """Add shortages of hosts to a pool's report, for tasks that fit on none of its hosts."""
    report = msgspec.structs.replace(pool.report, shortages=shortages, hosts_min=hosts_min)
    return replace(pool, report=report)


def make_hosts_awaited(pool: PoolView, names: str) -> PoolView:
    """Mark hosts of a pool as awaited: they have not responded to its owner yet."""
    hosts = tuple(
        msgspec.structs.replace(host, is_usable=False, is_awaited=True)
        if host.machine in names
        else host
        for host in pool.report.hosts
    )
    return replace(pool, report=msgspec.structs.replace(pool.report, hosts=hosts))


def list_moves(plan: FleetPlan) -> list[tuple[str, str]]:
    """Return the machine and the target pool of each move."""
    return [(o.machine, o.pool) for o in plan.orders if isinstance(o, MoveOrder)]


class ShortageTest(TestCase):
    """Tasks wait that do not fit on every host, although the pool's total resources suffice."""

    wide = ShortageReport(1, (13_000, 1_000, 0))

    def test_host_is_fetched_although_total_resources_suffice(self) -> None:
        pool = with_shortages(make_pool("p", "abc", 10), self.wide, hosts_min=3)
        plan = FleetPlanner(ALL).plan(make_view(pool, reserve="xy"), 0.0)
        self.assertEqual([("x", "p")], list_moves(plan))

    def test_no_host_is_fetched_while_one_arrives(self) -> None:
        pool = replace(
            with_shortages(make_pool("p", "abc", 10), self.wide, hosts_min=3),
            arriving=(make_machine("w", "p"),),
        )
        plan = FleetPlanner(ALL).plan(make_view(pool, reserve="xy"), 0.0)
        self.assertEqual([], list_moves(plan))

    def test_arriving_machine_covers_no_shortage_that_it_does_not_fit(self) -> None:
        narrow = replace(make_machine("w", "p"), capacity=Resources(8_000, 32_000))
        for shortage, arriving in (
            (self.wide, (narrow,)),
            (ShortageReport(1, (13_000, 1_000, 0), "a"), (narrow,)),
            (ShortageReport(1, (1_000, 1_000, 0), "a"), (replace(narrow, kind="b"),)),
            (ShortageReport(2, (13_000, 1_000, 0)), (narrow, make_machine("v", "p"))),
        ):
            pool = replace(with_shortages(make_pool("p", "abc", 10), shortage), arriving=arriving)
            plan = FleetPlanner(ALL).plan(make_view(pool, reserve="xy"), 0.0)
            self.assertEqual([("x", "p")], list_moves(plan))

    def test_arriving_machine_covers_one_shortage(self) -> None:
        """The machine with the label is assigned to the shortage that only it covers."""
        labelled = make_machine("v", "p")
        other = replace(make_machine("w", "p"), kind="b")
        label = ShortageReport(1, (1_000, 1_000, 0), "a")
        for arriving, shortages, count in (
            ((labelled,), (self.wide, label), 1),
            ((labelled, other), (self.wide, label), 0),
            ((labelled, other), (label, label), 1),
        ):
            pool = with_shortages(make_pool("p", "abc", 10), *shortages)
            pool = replace(pool, arriving=arriving)
            plan = FleetPlanner(ALL).plan(make_view(pool, reserve="xy"), 0.0)
            self.assertEqual(count, len(list_moves(plan)))

    def test_other_pools_release_machines_although_a_small_one_arrives(self) -> None:
        narrow = replace(make_machine("w", "hot"), capacity=Resources(8_000, 32_000))
        hot = replace(with_shortages(make_pool("hot", "abc", 10), self.wide), arriving=(narrow,))
        view = make_view(make_pool("cold", "efgh", 0), hot)
        self.assertEqual([("e", "hot")], list_moves(plan_after_first_pool_vacated(view))[:1])

    def test_hosts_for_total_resources_are_not_fetched_twice(self) -> None:
        pool = with_shortages(make_pool("p", "abc", 80), self.wide)
        plan = FleetPlanner(ALL).plan(make_view(pool, reserve="uvwxyz"), 0.0)
        self.assertEqual(2, len(list_moves(plan)))

    def test_machine_with_the_capacity_and_the_label_is_fetched(self) -> None:
        pool = make_pool("p", "abc", 10)
        view = make_view(pool, reserve="xyz")
        small, other, right = view.reserve
        reserve = (
            replace(small, rack="q", capacity=Resources(8_000, 32_000)),
            replace(other, rack="q"),
            replace(right, rack="s"),
        )
        for shortage, expected in (
            (self.wide, [("y", "p")]),
            (ShortageReport(1, (13_000, 0, 0), "s"), [("z", "p")]),
            (ShortageReport(1, (8_000, 0, 0), "a"), [("x", "p")]),
            (ShortageReport(1, (17_000, 0, 0)), []),
            (ShortageReport(1, (1, 0, 0), "t"), []),
        ):
            view = replace(view, pools=(with_shortages(pool, shortage),), reserve=reserve)
            self.assertEqual(expected, list_moves(FleetPlanner(ALL).plan(view, 0.0)))

    def test_host_that_a_task_waits_for_is_not_vacated(self) -> None:
        calm = mark_hosts(make_pool("p", "abcd", 0), needed="a")
        planner = FleetPlanner(ALL)
        planner.plan(make_view(calm), 0.0)
        vacating = planner.plan(make_view(calm), 1.0).vacate["p"]
        self.assertEqual(frozenset("bc"), vacating)

    def test_vacating_host_is_retained_if_it_is_needed(self) -> None:
        calm = make_pool("p", "abcd", 0)
        planner = FleetPlanner(ALL)
        planner.plan(make_view(calm), 0.0)
        self.assertEqual(frozenset("ab"), planner.plan(make_view(calm), 1.0).vacate["p"])
        wanting = mark_hosts(make_pool("p", "abcd", 0, vacating="ab"), needed="a")
        plan = planner.plan(make_view(wanting), 1.1)
        self.assertNotIn("a", plan.vacate["p"])
        self.assertEqual([("b", RESERVE)], list_moves(plan))

    def test_hosts_of_lasting_tasks_are_not_released_for_one_that_a_large_task_needs(self) -> None:
        pool = mark_hosts(
            with_shortages(make_pool("p", "abcd", 10), hosts_min=3), "d", lasting="abc"
        )
        planner = FleetPlanner(ALL)
        planner.plan(make_view(pool), 0.0)
        self.assertEqual(frozenset(), planner.plan(make_view(pool), 1.0).vacate["p"])

    def test_pool_does_not_shrink_while_a_host_arrives(self) -> None:
        pool = with_shortages(make_pool("p", "abc", 10), self.wide, hosts_min=3)
        pool = mark_hosts(replace(pool, arriving=(make_machine("w", "p"),)), lasting="abc")
        planner = FleetPlanner(ALL)
        planner.plan(make_view(pool), 0.0)
        self.assertEqual(frozenset(), planner.plan(make_view(pool), 1.0).vacate["p"])

    def test_hosts_missing_for_lasting_tasks_count_once(self) -> None:
        pool = with_shortages(
            make_pool("p", "ab", 10), ShortageReport(7, (1, 1, 0), is_lasting=True), hosts_min=9
        )
        plan = FleetPlanner(ALL).plan(make_view(mark_hosts(pool, lasting="ab")), 0.0)
        self.assertEqual(PoolSize(9, 9, 7), plan.sizes["p"])

    def test_hosts_of_lasting_tasks_are_kept_while_more_lasting_tasks_lack_a_host(self) -> None:
        pool = with_shortages(
            make_pool("p", "abc", 10), ShortageReport(1, (1, 20_000, 0), is_lasting=True)
        )
        plan = FleetPlanner(ALL).plan(make_view(mark_hosts(pool, lasting="abc")), 0.0)
        self.assertEqual(PoolSize(2, 4, 1), plan.sizes["p"])

    def test_hosts_of_lasting_tasks_are_released_if_none_lacks_a_host(self) -> None:
        pool = mark_hosts(make_pool("p", "abcde", 10), lasting="abcde")
        plan = FleetPlanner(ALL).plan(make_view(pool), 0.0)
        self.assertEqual(PoolSize(2, 2, 0), plan.sizes["p"])

    def test_needed_machine_is_vacated_if_its_upkeep_would_be_late(self) -> None:
        wave = WaveView(1, frozenset("a"), frozenset("a"), 2, frozenset(), left_s=5.0)
        view = make_view(mark_hosts(make_pool("p", "abcd", 0), needed="a"), waves=(wave,))
        self.assertIn("a", FleetPlanner(ALL).plan(view, 0.0).vacate["p"])


class AwaitedHostsTest(TestCase):
    """Some hosts of a pool have not responded to its owner yet."""

    def test_no_replacements_are_fetched_for_awaited_hosts(self) -> None:
        pool = make_hosts_awaited(make_pool("p", "abc", 48), "abc")
        plan = FleetPlanner(ALL).plan(make_view(pool, reserve="xyz"), 0.0)
        self.assertEqual([], list_moves(plan))

    def test_other_missing_hosts_are_fetched_at_once(self) -> None:
        pool = make_hosts_awaited(make_pool("p", "abc", 80), "bc")
        plan = FleetPlanner(ALL).plan(make_view(pool, reserve="xyz"), 0.0)
        self.assertEqual([("x", "p"), ("y", "p")], list_moves(plan))

    def test_hosts_for_large_tasks_are_fetched_as_well(self) -> None:
        shortage = ShortageReport(1, (13_000, 1_000, 0))
        pool = with_shortages(make_hosts_awaited(make_pool("p", "abc", 10), "abc"), shortage)
        plan = FleetPlanner(ALL).plan(make_view(pool, reserve="xyz"), 0.0)
        self.assertEqual([("x", "p")], list_moves(plan))

    def test_no_serving_host_is_released_because_of_awaited_hosts(self) -> None:
        view = make_view(make_hosts_awaited(make_pool("p", "abcd", 32), "cd"))
        planner = FleetPlanner(ALL)
        planner.plan(view, 0.0)
        self.assertEqual(frozenset(), planner.plan(view, 1.0).vacate["p"])

    def test_other_pools_keep_their_spare_machines(self) -> None:
        short = make_hosts_awaited(make_pool("short", "abc", 48), "abc")
        view = make_view(short, make_pool("cold", "efgh", 0))
        self.assertEqual(frozenset(), FleetPlanner(ALL).plan(view, 0.0).vacate["cold"])

    def test_awaited_hosts_of_a_silent_hall_are_replaced(self) -> None:
        pool = make_hosts_awaited(make_pool("p", "abc", 48), "bc")
        view = replace(make_view(pool, reserve="xyz"), silent_halls=frozenset({"hall"}))
        self.assertEqual(2, len(list_moves(FleetPlanner(ALL).plan(view, 0.0))))

    def test_awaited_hosts_do_not_make_their_hall_silent(self) -> None:
        pool = make_pool("p", "abc", 48)
        for awaited, expected in (("abc", frozenset()), ("", {"hall"})):
            hosts = tuple(
                msgspec.structs.replace(host, is_usable=False, is_awaited=host.machine in awaited)
                for host in pool.report.hosts
            )
            report = msgspec.structs.replace(pool.report, hosts=hosts)
            self.assertEqual(expected, find_silent_halls([report], pool.machines))


class UpkeepTest(TestCase):
    wave = WaveView(1, frozenset("xy"), frozenset("xy"), 2, frozenset(), left_s=100.0)

    def test_upkeep_of_a_due_machine_comes_before_its_move_to_a_pool(self) -> None:
        view = make_view(make_pool("hot", "ab", 160), reserve="xyz", waves=(self.wave,))
        orders = FleetPlanner(ALL).plan(view, 0.0).orders
        self.assertIn(UpkeepOrder("x", 1), orders)
        self.assertIn(UpkeepOrder("y", 1), orders)
        self.assertIn(MoveOrder("z", "hot"), orders)

    def test_no_more_upkeep_starts_than_machines_may_be_down(self) -> None:
        wave = replace(self.wave, down=frozenset("z"))
        view = make_view(make_pool("hot", "ab", 160), reserve="xy", waves=(wave,))
        orders = FleetPlanner(ALL).plan(view, 0.0).orders
        self.assertEqual(1, sum(isinstance(order, UpkeepOrder) for order in orders))

    def test_reserve_and_pools_share_the_upkeep_slots(self) -> None:
        for at_once_max, down, expected in ((1, "", 1), (2, "z", 1), (3, "", 3), (2, "cz", 0)):
            wave = WaveView(
                1, frozenset("abxy"), frozenset("abxy"), at_once_max, frozenset(down), left_s=5.0
            )
            view = make_view(make_pool("calm", "abcd", 0), reserve="xy", waves=(wave,))
            orders = plan_until_vacated(ALL, view).orders
            self.assertEqual(expected, sum(isinstance(order, UpkeepOrder) for order in orders))

    def test_machine_of_two_waves_takes_a_slot_in_each(self) -> None:
        """Otherwise one plan starts x for wave 1 and z for wave 2, which allows one of the two."""
        first = WaveView(1, frozenset("xy"), frozenset("x"), 2, frozenset(), left_s=100.0)
        second = WaveView(2, frozenset("xz"), frozenset("z"), 1, frozenset(), left_s=100.0)
        view = make_view(make_pool("hot", "ab", 160), reserve="xz", waves=(first, second))
        orders = FleetPlanner(ALL).plan(view, 0.0).orders
        self.assertEqual([UpkeepOrder("x", 1)], [o for o in orders if isinstance(o, UpkeepOrder)])

    def test_no_more_unsettled_machines_are_ordered_than_may_be_down(self) -> None:
        """The operators changed the wave to one machine at once; it was two before."""
        wave = replace(self.wave, at_once_max=1, unsettled=frozenset("xy"))
        view = make_view(make_pool("hot", "ab", 160), reserve="xy", waves=(wave,))
        orders = FleetPlanner(ALL).plan(view, 0.0).orders
        self.assertEqual([UpkeepOrder("x", 1)], [o for o in orders if isinstance(o, UpkeepOrder)])

    def test_switched_off_the_machine_moves_to_the_pool_first(self) -> None:
        view = make_view(make_pool("hot", "ab", 160), reserve="xy", waves=(self.wave,))
        orders = FleetPlanner(FleetPolicy(upkeep_first=False)).plan(view, 0.0).orders
        self.assertEqual({"x", "y"}, {o.machine for o in orders if isinstance(o, MoveOrder)})

    def test_machine_with_late_upkeep_is_vacated_without_replacement(self) -> None:
        wave = WaveView(1, frozenset("a"), frozenset("a"), 2, frozenset(), left_s=5.0)
        view = make_view(make_pool("hot", "ab", 160, busy="ab"), waves=(wave,))
        self.assertEqual(frozenset("a"), FleetPlanner(ALL).plan(view, 0.0).vacate["hot"])
        off = FleetPlanner(FleetPolicy(upkeep_first=False))
        self.assertEqual(frozenset(), off.plan(view, 0.0).vacate["hot"])

    def test_late_upkeep_is_done_in_the_pool(self) -> None:
        wave = WaveView(1, frozenset("a"), frozenset("a"), 2, frozenset(), left_s=5.0)
        view = make_view(make_pool("calm", "abcd", 0), waves=(wave,))
        self.assertIn(UpkeepOrder("a", 1), plan_until_vacated(ALL, view).orders)


class DirectMoveTest(TestCase):
    def test_spare_machine_moves_directly_to_the_pool_that_lacks_most(self) -> None:
        view = make_view(
            make_pool("cold", "abcd", 0), make_pool("hot", "ef", 160), make_pool("warm", "gh", 48)
        )
        moves = [
            order for order in plan_until_vacated(ALL, view).orders if isinstance(order, MoveOrder)
        ]
        self.assertEqual(["hot", "hot"], [move.pool for move in moves])

    def test_spare_machine_moves_to_the_reserve_if_no_pool_lacks_one(self) -> None:
        view = make_view(make_pool("cold", "abcd", 0), make_pool("calm", "ef", 0))
        moves = [
            order for order in plan_until_vacated(ALL, view).orders if isinstance(order, MoveOrder)
        ]
        self.assertEqual({RESERVE}, {move.pool for move in moves})

    def test_switched_off_the_machine_moves_to_the_reserve(self) -> None:
        view = make_view(make_pool("cold", "abcd", 0), make_pool("hot", "ef", 160))
        policy = FleetPolicy(moves_directly=False)
        moves = [o for o in plan_until_vacated(policy, view).orders if isinstance(o, MoveOrder)]
        self.assertEqual({RESERVE}, {move.pool for move in moves})

    def test_spare_machines_are_released_at_once_only_if_a_pool_lacks_some(self) -> None:
        short = make_view(make_pool("cold", "abcd", 0), make_pool("hot", "ef", 160))
        self.assertEqual(2, len(FleetPlanner(ALL).plan(short, 0.0).vacate["cold"]))
        calm = make_view(make_pool("cold", "abcd", 0), make_pool("calm", "ef", 0))
        self.assertEqual(0, len(FleetPlanner(ALL).plan(calm, 0.0).vacate["cold"]))
