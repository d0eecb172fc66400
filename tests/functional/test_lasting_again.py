"""A lasting task runs again soon, whatever ended its last run."""

import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase

from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import POOL, find_breaks
from tests.lib.lasting import (
    AGAIN_MAX_S,
    cut_host,
    get_first_host,
    get_longest_gap_s,
    kill_owner,
    start_lasting,
)
from tests.lib.virtual import run_virtual

# How long a process that was killed takes to begin anew.
RESTART_S = 2.5
# Longer than any wait that follows from a lease.
WATCH_S = 25.0


class LastingAgainTest(TestCase):
    def _check(self, bring_about: Callable[[PlatformStandin], Awaitable[None]]) -> None:
        """Bring trouble about; a task must run again in time, and never twice."""

        async def work() -> None:
            platform = await start_lasting()
            await bring_about(platform)
            await asyncio.sleep(WATCH_S)
            self.assertEqual([], find_breaks(platform))
            self.assertLess(get_longest_gap_s(platform), AGAIN_MAX_S)

        run_virtual(work())

    def test_host_lost_for_good_as_the_owner_is_killed(self) -> None:
        async def bring_about(platform: PlatformStandin) -> None:
            platform.crash_host(get_first_host(platform).record.id)
            owner = kill_owner(platform)
            await asyncio.sleep(RESTART_S)
            platform.start_node(owner)

        self._check(bring_about)

    def test_owner_killed_while_a_host_is_cut_off(self) -> None:
        async def bring_about(platform: PlatformStandin) -> None:
            cut_host(platform, get_first_host(platform))
            await asyncio.sleep(3)
            owner = kill_owner(platform)
            await asyncio.sleep(RESTART_S)
            platform.start_node(owner)

        self._check(bring_about)

    def test_two_owners_killed_one_after_the_other(self) -> None:
        async def bring_about(platform: PlatformStandin) -> None:
            cut_host(platform, get_first_host(platform))
            await asyncio.sleep(2)
            for _ in range(2):
                owner = kill_owner(platform)
                await asyncio.sleep(RESTART_S)
                platform.start_node(owner)

        self._check(bring_about)

    def test_owner_cut_off_for_a_while_as_a_host_is_lost(self) -> None:
        async def bring_about(platform: PlatformStandin) -> None:
            platform.crash_host(get_first_host(platform).record.id)
            owner = next(name for name in platform.nodes if _owns(platform, name))
            platform.cut_node(owner)
            await asyncio.sleep(3)
            platform.heal_node(owner)

        self._check(bring_about)


def _owns(platform: PlatformStandin, node: str) -> bool:
    return POOL in platform.nodes[node].assembled.owned.owners
