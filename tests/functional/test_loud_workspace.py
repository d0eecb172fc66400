"""A workspace that exceeds its share by far does not delay others when capacity is exhausted."""

import asyncio
import statistics

from testtools import TestCase

from robinthread._internal.models.resources import Resources
from robinthread._internal.settings.policy_settings import PolicySettings, WorkspacePolicies
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import HOST_CAPACITY, find_violations, get_owner, wait_until
from tests.lib.limited import POOLS, Feeder, configure, make_workspace, plan_task
from tests.lib.virtual import run_virtual

LOUD, QUIET = "loud", "quiet"
HOSTS = 3
# Jobs take eight core-seconds each, so the two shares need two thirds of the 48 cores.
SHARE_PER_S = 2.0
LOUD_PER_S = 15.0
FOR_S = 14.0
# After this time the pool has all existing hosts.
FULL_AFTER_S = 4.0
# The job's own second, the time until its tasks start, and the sum of both as a margin.
IN_TIME_S = 2.0


async def play(ranks_beyond_share: bool) -> dict[str, list[float]]:
    """Run a workspace at 7.5 times its share; return the durations of jobs by workspace."""
    platform = PlatformStandin(plan_task)
    configure(
        platform,
        1,
        Resources(),
        make_workspace(LOUD, Resources(), SHARE_PER_S),
        make_workspace(QUIET, Resources(), SHARE_PER_S),
    )
    for number in range(HOSTS):
        platform.machines.add(POOLS[0], f"r{number}", HOST_CAPACITY)
    policy = PolicySettings(workspaces=WorkspacePolicies(ranks_beyond_share=ranks_beyond_share))
    for number in range(3):
        platform.start_node(f"node{number}", policy=policy)
    await wait_until(lambda: get_owner(platform, POOLS[0]) is not None)
    await asyncio.sleep(1)
    feeder, began_at_s = Feeder(platform), asyncio.get_running_loop().time()
    await asyncio.gather(
        feeder.feed(LOUD, POOLS[0], LOUD_PER_S, FOR_S),
        feeder.feed(QUIET, POOLS[0], 0.9 * SHARE_PER_S, FOR_S),
    )
    await asyncio.sleep(5)
    assert find_violations(platform) == []
    return feeder.list_done_s(began_at_s + FULL_AFTER_S)


class LoudWorkspaceTest(TestCase):
    def test_other_workspaces_and_its_own_share_are_served_in_time(self) -> None:
        took_s = run_virtual(play(ranks_beyond_share=True))
        self.assertLess(statistics.quantiles(took_s[QUIET], n=10)[8], IN_TIME_S)
        in_time = sum(each < IN_TIME_S for each in took_s[LOUD])
        self.assertGreaterEqual(in_time, 0.9 * SHARE_PER_S * (FOR_S - FULL_AFTER_S))

    def test_without_ranking_other_workspaces_are_late(self) -> None:
        took_s = run_virtual(play(ranks_beyond_share=False))
        self.assertGreater(statistics.median(took_s[QUIET]), IN_TIME_S)
