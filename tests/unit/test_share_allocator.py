"""Allocation of workspace limits to the pools by the steward."""

from testtools import TestCase

from robinthread._internal.fleet.pool_report import PoolReport
from robinthread._internal.models.fleet_config import FleetConfig, make_fleet_config
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.workspace_policy import WorkspacePolicy
from robinthread._internal.models.workspace_shares import (
    ShareOrder,
    ShareState,
    ShareTable,
    WorkspaceUsage,
)
from robinthread._internal.node.share_allocator import FIRST_REPORTS_WAIT_S, ShareAllocator
from robinthread._internal.telemetry.event_log import EventLog

POOLS = ("a", "b")
KEPT_SHARE = 0.2


def make_config(version: int, cpu_millicores: int) -> FleetConfig:
    """Make a configuration with one workspace."""
    maps = WorkspacePolicy("maps", limit=Resources(cpu_millicores))
    return make_fleet_config(version, (), tuple(map(PoolPolicy, POOLS)), 1000, (maps,))


class _Pools:
    """Owners that respond to share orders; ``used`` is what the workspace uses in each pool."""

    def __init__(self, token: int = 1, began_at_s: float = 0.0) -> None:
        self.allocator = ShareAllocator(
            token, KEPT_SHARE, began_at_s, EventLog("n", lambda line: None)
        )
        self.states = {pool: ShareState() for pool in POOLS}
        self.used = dict.fromkeys(POOLS, 0)
        self.held_back = dict.fromkeys(POOLS, 0)

    def step(
        self,
        config: FleetConfig,
        fell_in: dict[str, int] | None = None,
        answering: tuple[str, ...] = POOLS,
        now_s: float = 0.0,
    ) -> dict[str, ShareTable | None]:
        """Send the pools' orders once and decide; return the tables that the pools apply."""
        orders = {pool: self.allocator.make_order(pool, config) for pool in POOLS}
        reports = {pool: self._answer(pool, orders[pool]) for pool in answering}
        self.allocator.record_reports(config, reports)
        self.allocator.decide(config, fell_in or {}, now_s)
        return {pool: state.table for pool, state in self.states.items()}

    def _answer(self, pool: str, order: ShareOrder | None) -> PoolReport:
        if order is not None:
            table = self.states[pool].table if order.table is None else order.table
            self.states[pool] = ShareState(order.token, order.number, table)
        standing = WorkspaceUsage(
            "maps",
            (self.used[pool], 0, 0),
            (self.held_back[pool], 0, 0),
            (self.held_back[pool], 0, 0),
        )
        return PoolReport(True, share_state=self.states[pool], workspaces=(standing,))

    def settle(self, config: FleetConfig, fell_in: dict[str, int] | None = None) -> None:
        """Take enough steps for the shares to settle."""
        for _ in range(6):
            self.step(config, fell_in)

    def get_share(self, pool: str) -> float:
        """Return the workspace's share in a pool."""
        table = self.states[pool].table
        return 0.0 if table is None else table.get("maps")


class ShareAllocatorTest(TestCase):
    def test_pools_have_even_shares_once_both_have_reported(self) -> None:
        pools = _Pools()
        pools.settle(make_config(1, 1000))
        self.assertEqual([0.5, 0.5], [pools.get_share(pool) for pool in POOLS])

    def test_pool_gets_more_only_after_the_other_has_confirmed_less(self) -> None:
        pools, config = _Pools(), make_config(1, 1000)
        pools.settle(config)
        pools.used["a"], pools.held_back["a"] = 500, 100
        sums = []
        for _ in range(6):
            # The other pool does not respond for a while.
            pools.step(config, answering=("a",))
            sums.append(pools.get_share("a"))
        self.assertEqual([0.5] * 6, sums)
        pools.settle(config)
        self.assertAlmostEqual(0.9, pools.get_share("a"), places=5)
        self.assertAlmostEqual(0.1, pools.get_share("b"), places=5)

    def test_new_steward_lends_nothing_before_all_have_reported(self) -> None:
        pools, config = _Pools(), make_config(1, 1000)
        pools.settle(config)
        pools.used["a"], pools.held_back["a"] = 500, 100
        pools.settle(config)
        later = _Pools(token=2, began_at_s=10.0)
        later.states = {"a": ShareState(), "b": pools.states["b"]}
        for now_s in (10.1, 10.2, 10.0 + FIRST_REPORTS_WAIT_S / 2):
            later.step(config, answering=("a",), now_s=now_s)
            self.assertEqual(0.0, later.get_share("a"))
        for now_s in (10.0 + FIRST_REPORTS_WAIT_S, 12.0, 13.0):
            later.step(config, answering=("a",), now_s=now_s)
        self.assertAlmostEqual(KEPT_SHARE / len(POOLS), later.get_share("a"))
        later.settle(config)
        self.assertEqual([0.5, 0.5], [later.get_share(pool) for pool in POOLS])

    def test_pool_that_obeys_a_later_steward_counts_as_not_reported(self) -> None:
        pools, config = _Pools(token=1), make_config(1, 1000)
        pools.step(config)
        pools.states["b"] = ShareState(2, 1, ShareTable(1, 0.9))
        report = PoolReport(True, share_state=pools.states["b"])
        pools.allocator.record_reports(config, {"b": report})
        pools.allocator.decide(config, {}, 0.0)
        order = pools.allocator.make_order("b", config)
        assert order is not None
        self.assertEqual(1, order.token)

    def test_lowered_limit_blocks_starts_until_both_have_reported_usage(self) -> None:
        pools, config = _Pools(), make_config(1, 1000)
        pools.settle(config)
        pools.used["a"] = 600
        fallen, fell_in = make_config(2, 1000), {"maps": 2}
        for _ in range(4):
            pools.step(fallen, fell_in, answering=("b",))
        self.assertEqual(0.0, pools.get_share("b"))
        pools.settle(fallen, fell_in)
        self.assertLessEqual(pools.get_share("b"), 0.4 + 1e-6)
        self.assertGreater(pools.get_share("b"), 0.1)

    def test_new_steward_assigns_nothing_of_a_lowered_limit_before_all_reported(self) -> None:
        pools, fallen, fell_in = _Pools(), make_config(2, 1000), {"maps": 2}
        pools.settle(make_config(1, 2000))
        # The pool that uses more than the whole limit has lost its owner, and so has the other.
        pools.used["a"] = 1500
        later = _Pools(token=2, began_at_s=10.0)
        later.used, later.states = pools.used, {"a": pools.states["a"], "b": ShareState()}
        shares = set()
        for step in range(20):
            later.step(
                fallen, fell_in, answering=("b",), now_s=10.0 + step * FIRST_REPORTS_WAIT_S / 4
            )
            shares.add(later.get_share("b"))
        self.assertEqual({0.0}, shares)
        later.settle(fallen, fell_in)
        self.assertLessEqual(later.get_share("b"), 1e-6)
        later.used["a"] = 0
        later.settle(fallen, fell_in)
        self.assertAlmostEqual(0.5, later.get_share("b"))

    def test_new_steward_unaware_of_a_lowered_limit_counts_reported_usage(self) -> None:
        later, config = _Pools(token=2, began_at_s=10.0), make_config(2, 1000)
        # A new owner of one pool uses more than its even share, from before the limit was lowered.
        later.used["a"] = 900
        shares = set()
        for step in range(8):
            answering = POOLS if step > 5 else ("a", "b")
            later.step(config, answering=answering, now_s=10.0 + step)
            shares.add(round(later.get_share("b"), 3))
        self.assertLessEqual(max(shares), 0.1)
        later.used["a"] = 1500
        for step in range(8):
            later.step(config, now_s=20.0 + step)
        self.assertEqual(0.0, later.get_share("b"))

    def test_new_steward_counts_usage_while_not_all_have_reported(self) -> None:
        later, config = _Pools(token=2, began_at_s=10.0), make_config(2, 1000)
        later.used["a"] = 950
        three = make_fleet_config(
            2, (), tuple(map(PoolPolicy, "abc")), 1000, tuple(config.workspaces.values())
        )
        for step in range(8):
            later.step(three, now_s=11.0 + step)
        self.assertEqual(0.0, later.get_share("b"))
