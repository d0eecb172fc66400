"""Owners that have not read a configuration yet must not take that for one without limits."""

import asyncio

import msgspec
from testtools import TestCase

from robinthread._internal.models.job_policy import make_job_policy
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.standins.platform_standin import HOSTS, OPERATORS, PlatformStandin
from tests.lib.job_platforms import (
    POOL,
    QUEUE,
    find_violations,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
    wait_until,
)
from tests.lib.limited import make_workspace
from tests.lib.virtual import run_virtual

POOLS = (PoolPolicy(POOL, hosts_check_room=False), PoolPolicy("reserve", is_reserve=True))
LIMITED = "limited"
LIMIT = Resources(1000, 1000)
WAITED_S = 3.0
# Time in which hosts' capacities become too old to place runs by.
CAPACITIES_OLD_S = 5.0


def make_workspace_job(number: int, workspace: str) -> JobSpec:
    """Make a job of two tasks; its workspace's limit has room for one."""
    spec = make_job(number, StepSpec(2, cpu_millicores=1000, memory_mb=100))
    policy = make_job_policy(QUEUE)
    return msgspec.structs.replace(spec, workspace=workspace, policy=policy)


async def start_with_blind_owner() -> PlatformStandin:
    """Start a platform whose owner was restarted and can't read the operators' records."""
    platform = await start_platform(pools=POOLS)
    workspaces = (make_workspace(LIMITED, LIMIT),)
    platform.configure(2, (QUEUE,), POOLS, workspaces)
    platform.hosts_check_room = False
    owner = get_owner(platform)
    assert owner is not None
    platform.store.unreadable_by.add((owner, OPERATORS.topic))
    platform.kill_node(owner)
    platform.start_node(owner)
    await wait_until(lambda: get_owner(platform) == owner)
    assert platform.nodes[owner].assembled.config_holder.config is None
    return platform


def get_other(platform: PlatformStandin) -> str:
    """Return a node that does not own the pool."""
    return next(name for name in platform.nodes if name != get_owner(platform))


class UnreadConfigurationTest(TestCase):
    def test_workspace_starts_nothing_before_its_limit_is_known(self) -> None:
        """An owner that had read no configuration ran a workspace's tasks without its limit."""

        async def work() -> None:
            platform = await start_with_blind_owner()
            job = make_workspace_job(1, LIMITED)
            await hand_in(platform, get_other(platform), job)
            await asyncio.sleep(WAITED_S)
            self.assertEqual([], platform.hosts.ledger.runs)
            platform.store.unreadable_by.clear()
            await wait_for_status(platform, job.job_id, JobStatus.SUCCEEDED)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_old_capacities_are_not_used_before_the_pool_is_known(self) -> None:
        """An owner that had read no configuration took all hosts for ones that check room."""

        async def work() -> None:
            platform = await start_with_blind_owner()
            platform.store.unreadable_topics.add(HOSTS.topic)
            await asyncio.sleep(CAPACITIES_OLD_S)
            job = make_workspace_job(1, workspace="")
            await hand_in(platform, get_other(platform), job)
            await asyncio.sleep(WAITED_S)
            self.assertEqual([], platform.hosts.ledger.runs)
            platform.store.unreadable_topics.clear()
            await wait_for_status(platform, job.job_id, JobStatus.SUCCEEDED)

        run_virtual(work())
