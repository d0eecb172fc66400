"""Transfer of pools from crowded or late nodes to nodes with less load."""

import asyncio
from collections import Counter

from testtools import TestCase

from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.settings.policy_settings import OwnerPolicy, PolicySettings
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import RESERVE, PlatformStandin
from tests.lib.job_platforms import (
    HOST_CAPACITY,
    POOL,
    QUEUE,
    find_violations,
    get_owner,
    hand_in,
    make_job,
    plan_second,
    wait_for_status,
    wait_until,
)
from tests.lib.virtual import run_virtual

POOLS = (POOL, "maps", "proofs", "tiles")
LATE_S = 0.5
# Shorter than a lease, so that the runs of a cut-off host continue.
SILENT_S = 3.0


def make_platform() -> PlatformStandin:
    """Make a platform with four pools, one of which has hosts."""
    platform = PlatformStandin(plan_second, 1)
    policies = (*map(PoolPolicy, POOLS), PoolPolicy(RESERVE, is_reserve=True))
    platform.configure(1, (QUEUE,), policies)
    for number in range(4):
        platform.machines.add(POOL, f"r{number % 2}", HOST_CAPACITY)
    return platform


def count_owned(platform: PlatformStandin) -> Counter[str]:
    """Count the pools that each node serves."""
    return Counter(owner for pool in POOLS if (owner := get_owner(platform, pool)))


async def hold_loop_late(platform: PlatformStandin, name: str) -> None:
    """Simulate a late event loop of a node until cancelled."""
    while True:
        platform.nodes[name].assembled.lag.lag_s = LATE_S
        await asyncio.sleep(0.01)


class PoolRebalancingTest(TestCase):
    def test_pools_spread_over_nodes_that_start_later(self) -> None:
        async def work() -> None:
            platform = make_platform()
            platform.start_node("first")
            await wait_until(lambda: count_owned(platform)["first"] == len(POOLS))
            for number in range(5):
                platform.start_node(f"later{number}")
            await wait_until(lambda: max(count_owned(platform).values()) == 1)

        run_virtual(work())

    def test_pools_stay_if_the_policy_is_off(self) -> None:
        async def work() -> None:
            policy = PolicySettings(OwnerPolicy(spreads_pools=False))
            platform = make_platform()
            platform.start_node("first", policy=policy)
            await wait_until(lambda: count_owned(platform)["first"] == len(POOLS))
            platform.start_node("later", policy=policy)
            await asyncio.sleep(20)
            self.assertEqual(len(POOLS), count_owned(platform)["first"])

        run_virtual(work())

    def test_larger_node_acquires_the_pools_of_a_small_one(self) -> None:
        async def work() -> None:
            platform = make_platform()
            platform.start_node("small", 250)
            await wait_until(lambda: count_owned(platform)["small"] == len(POOLS))
            platform.start_node("large", 4000)
            await wait_until(lambda: count_owned(platform)["large"] == len(POOLS))

        run_virtual(work())

    def test_node_that_the_store_rejects_transfers_its_pool_to_a_large_one(self) -> None:
        async def work() -> None:
            platform = make_platform()
            for number in range(6):
                platform.start_node(f"small{number}", 250)
            for number in range(5):
                platform.start_node(f"large{number}", 4000)
            await asyncio.sleep(15)
            owner = get_owner(platform)
            assert owner is not None
            self.assertIn("large", owner)
            platform.store.faults.refused.add(owner)
            await wait_until(lambda: get_owner(platform) not in (owner, None), 5)
            await asyncio.sleep(0.1)
            self.assertIn("large", get_owner(platform) or "")

        run_virtual(work())

    def test_late_node_transfers_its_pool_and_jobs_continue(self) -> None:
        async def work() -> None:
            platform = make_platform()
            for number in range(7):
                platform.start_node(f"node{number}")
            await wait_until(lambda: len(count_owned(platform)) == len(POOLS))
            await asyncio.sleep(5)
            late = get_owner(platform)
            assert late is not None
            await hand_in(platform, late, make_job(1))
            await asyncio.sleep(0.5)
            task = asyncio.get_running_loop().create_task(hold_loop_late(platform, late))
            took_s = await wait_until(lambda: get_owner(platform) not in (late, None), 5)
            self.assertLess(took_s, 2.0)
            await wait_for_status(platform, f"{1:016x}", JobStatus.SUCCEEDED, 5)
            self.assertEqual([], find_violations(platform))
            await asyncio.sleep(10)
            self.assertEqual(0, count_owned(platform)[late])
            task.cancel()

        run_virtual(work())

    def test_pools_do_not_move_back_and_forth_if_all_nodes_are_late(self) -> None:
        async def work() -> None:
            platform = make_platform()
            for number in range(7):
                platform.start_node(f"node{number}")
            await wait_until(lambda: len(count_owned(platform)) == len(POOLS))
            await asyncio.sleep(5)
            loop = asyncio.get_running_loop()
            tasks = [loop.create_task(hold_loop_late(platform, name)) for name in platform.nodes]
            before = len(platform.events)
            await asyncio.sleep(30)
            moved = [line for line in platform.events[before:] if b'"pool_relieved"' in line]
            self.assertEqual([], moved)
            for task in tasks:
                task.cancel()

        run_virtual(work())

    def test_pool_stays_while_runs_of_a_silent_host_may_continue(self) -> None:
        """The next owner would count this owner's leases from the change of owner."""

        async def work() -> None:
            platform = make_platform()
            platform.plan_task = lambda task: TaskPlan(60.0, Resources(1000, 100))
            platform.start_node("first")
            await wait_until(lambda: count_owned(platform)["first"] == len(POOLS))
            await hand_in(platform, "first", make_job(1))
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 4)
            run = platform.hosts.ledger.runs[0]
            host = next(h for h in platform.hosts.hosts.values() if h.record.id == run.host_id)
            platform.hosts.cut_routes.add(("first", host.record.address))
            for number in range(5):
                platform.start_node(f"later{number}")
                platform.hosts.cut_routes.add((f"later{number}", host.record.address))
            await asyncio.sleep(SILENT_S)
            self.assertEqual("first", get_owner(platform))
            await wait_until(lambda: max(count_owned(platform).values()) == 1)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
