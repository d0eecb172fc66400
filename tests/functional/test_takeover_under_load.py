"""The next owner opens a pool while hosts and callers keep the store busy."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    find_violations,
    get_others,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_until,
)
from tests.lib.virtual import run_virtual

# The pool keeps all these hosts because each runs a lasting task.
HOSTS = 120
HEARTBEAT_S = 1.5
JOBS_PER_S = 60
# Response time of a store that is 60 times slower than usual, and the share by which each
# response may deviate from it.
SLOW_ANSWER_S = 0.24
SLOW_SPREAD = 0.5
# Covers the expiry of a membership, one record of ownership and three reads, all slow.
OPEN_MAX_S = 5.0
SETTLE_S = 10.0
QUICK = StepSpec(1, cpu_millicores=100, memory_mb=1)
LASTING = StepSpec(HOSTS, cpu_millicores=1000, memory_mb=1, is_lasting=True, per_host_max=1)


def plan_task(task: TaskKey) -> TaskPlan:
    """Plan lasting tasks for the first job, and one second of work for all others."""
    is_lasting = int(task.job_id, 16) == 0
    return TaskPlan(None if is_lasting else 1.0, Resources(100, 1))


async def kill_owner_while_slow(platform: PlatformStandin) -> float:
    """Kill the owner while the store is slow; return the seconds until another node serves."""
    platform.store.faults.latency_s = SLOW_ANSWER_S
    platform.store.faults.latency_spread = SLOW_SPREAD
    owner = get_owner(platform)
    assert owner is not None
    platform.kill_node(owner)
    return await wait_until(lambda: get_owner(platform) is not None, 60)


async def hand_in_jobs(platform: PlatformStandin) -> None:
    """Submit ``JOBS_PER_S`` jobs a second to running nodes that do not own the pool."""
    for number in range(1, 100_000):
        node = get_others(platform)[number % len(get_others(platform))]
        asyncio.get_running_loop().create_task(hand_in(platform, node, make_job(number, QUICK)))
        await asyncio.sleep(1 / JOBS_PER_S)


class TakeoverUnderLoadTest(TestCase):
    def test_pool_is_opened_while_hosts_renew_their_entries(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan_task, nodes=4, hosts=HOSTS)
            await hand_in(platform, "node0", make_job(0, LASTING))
            heartbeats = asyncio.create_task(platform.send_heartbeats(HEARTBEAT_S))
            await asyncio.sleep(SETTLE_S)
            self.assertLess(await kill_owner_while_slow(platform), OPEN_MAX_S)
            heartbeats.cancel()
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_pool_is_opened_while_jobs_are_submitted(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan_task, nodes=4, hosts=8)
            submissions = asyncio.create_task(hand_in_jobs(platform))
            await asyncio.sleep(SETTLE_S)
            self.assertLess(await kill_owner_while_slow(platform), OPEN_MAX_S)
            submissions.cancel()
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
