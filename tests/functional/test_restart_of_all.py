"""All nodes restart at once while hosts or the store respond slowly."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import RESERVE, PlatformStandin
from tests.lib.job_platforms import (
    HOST_CAPACITY,
    QUEUE,
    get_owner,
    hand_in,
    make_job,
    plan_second,
    start_platform,
    wait_until,
)
from tests.lib.lasting import kill_owner
from tests.lib.virtual import run_virtual

LASTING_RESOURCES = Resources(4000, 100)
# Response time of a host that is five times slower than usual, or of one among many that an
# owner with half a core polls at once.
SLOW_HOST_S = 0.05
# An owner has sent the first poll to each host this long after it opened the pool.
FIRST_POLLS_S = 0.1
# Response time of the store when it is slow: 60 times about 10 ms.
SLOW_STORE_S = 0.6
SLOW_STORE_SPREAD = 0.2
DOWNTIME_S = 1.0
POOLS = tuple(f"pool{number}" for number in range(8))
# Response time of the stand-in's store when it is 60 times slower than usual.
SLOW_RESPONSE_S = 0.24
# Joining, listing the members, reading the owners, acquiring a pool with the read that follows,
# and opening it take seven responses in sequence.  The limit allows twice as many.
ALL_OPEN_WITHIN_S = 14 * SLOW_RESPONSE_S

Trigger = Callable[[PlatformStandin], Awaitable[None]]


async def _restart_all(platform: PlatformStandin, is_restarted: Callable[[str], bool]) -> None:
    names = list(platform.nodes)
    for name in names:
        platform.kill_node(name)
    await asyncio.sleep(DOWNTIME_S)
    for name in filter(is_restarted, names):
        platform.start_node(name)


async def _kill_owner(platform: PlatformStandin) -> None:
    kill_owner(platform)


async def _restart_and_lose_first_polls(platform: PlatformStandin) -> None:
    platform.hosts.faults.silent.add("*")
    await _restart_all(platform, lambda name: True)
    await wait_until(lambda: get_owner(platform) is not None)
    await asyncio.sleep(FIRST_POLLS_S)
    platform.hosts.faults.silent.remove("*")


class RestartOfAllTest(TestCase):
    def test_hosts_not_yet_contacted_are_not_replaced(self) -> None:
        async def work(latency_s: float, trigger: Trigger) -> None:
            platform = await start_platform(
                lambda task: TaskPlan(None, LASTING_RESOURCES), nodes=5, hosts=10, reserve=10
            )
            for number in range(8):
                step = StepSpec(4, cpu_millicores=4000, memory_mb=100, is_lasting=True)
                await hand_in(platform, "node0", make_job(number, step))
            await asyncio.sleep(15)
            moved = platform.machines.move_count
            runs = [run for run in platform.hosts.ledger.runs if run.ended_at_s is None]
            self.assertEqual(32, len(runs))
            platform.hosts.faults.latency_s = latency_s
            await trigger(platform)
            await asyncio.sleep(10)
            ended = [run for run in runs if run.ended_at_s is not None]
            self.assertEqual((0, 0), (platform.machines.move_count - moved, len(ended)))

        async def restart(platform: PlatformStandin) -> None:
            await _restart_all(platform, lambda name: True)

        run_virtual(work(SLOW_HOST_S, restart))
        run_virtual(work(2 * SLOW_HOST_S, _kill_owner))
        run_virtual(work(SLOW_HOST_S, _restart_and_lose_first_polls))

    def test_slow_store_does_not_make_running_owners_lose_their_pools(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=12)
            owner = get_owner(platform)
            platform.store.faults.latency_s = SLOW_STORE_S
            platform.store.faults.latency_spread = SLOW_STORE_SPREAD
            await _restart_all(platform, lambda name: name != owner)
            # The pools of the missing node are acquired in the first seconds.
            await asyncio.sleep(10)
            before = len(platform.events)
            await asyncio.sleep(30)
            later = [json.loads(line) for line in platform.events[before:]]
            taken = [event["reason"] for event in later if event["event"] == "pool_taken"]
            self.assertEqual([], taken)

        run_virtual(work())

    def test_pools_of_several_owners_open_side_by_side_on_a_slow_store(self) -> None:
        async def work() -> None:
            platform = PlatformStandin(plan_second)
            policies = (*map(PoolPolicy, POOLS), PoolPolicy(RESERVE, is_reserve=True))
            platform.configure(1, (QUEUE,), policies)
            for pool in POOLS:
                platform.machines.add(pool, "r0", HOST_CAPACITY)
            for number in range(16):
                platform.start_node(f"node{number}")
            await asyncio.sleep(10)
            owners = {get_owner(platform, pool) for pool in POOLS}
            self.assertEqual(len(POOLS), len(owners - {None}))
            platform.store.faults.latency_s = SLOW_RESPONSE_S
            platform.store.faults.latency_spread = SLOW_STORE_SPREAD
            await _restart_all(platform, lambda name: True)
            took_s = await wait_until(
                lambda: all(get_owner(platform, pool) is not None for pool in POOLS)
            )
            self.assertLess(took_s, ALL_OPEN_WITHIN_S)

        run_virtual(work())
