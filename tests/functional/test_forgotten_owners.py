"""An owner that lives on, cut off, when those that know of it have gone."""

import asyncio

from testtools import TestCase

from robinthread._internal.jobs.host_lease import get_lapse_time_s
from robinthread._internal.node.pool_runtime import LEASE_MS
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    POOL,
    find_violations,
    get_owner,
    make_stop_budget,
    wait_until,
)
from tests.lib.lasting import (
    cut_host,
    get_first_host,
    kill_owner,
    list_runs,
    start_lasting,
)
from tests.lib.virtual import run_virtual

WATCH_S = 15.0
# In this time a host that answers has heard of an owner that has opened its pool,
HEARD_S = 0.2
# and tasks whose host's lease is over are begun on another one.
AGAIN_S = 0.8
NAMES = [f"node{number}" for number in range(9)]


def owns(platform: PlatformStandin, name: str) -> bool:
    node = platform.nodes.get(name)
    return node is not None and POOL in node.assembled.owned.owners


def cut_with_a_host(platform: PlatformStandin) -> str:
    """Cut the owner off with one host that it alone reaches; return its name."""
    host = get_first_host(platform)
    old = next(name for name in platform.nodes if owns(platform, name))
    others = [name for name in NAMES if name != old]
    platform.hosts.cut_routes |= {(name, host.record.address) for name in others}
    away = platform.hosts.hosts.keys() - {host.record.address}
    platform.hosts.cut_routes |= {(old, address) for address in away}
    platform.store.faults.silent.add(old)
    platform.cut_nodes.add(old)
    return old


async def start_with_second_owner() -> tuple[PlatformStandin, str]:
    """Cut the first owner off and start a node once another owns the pool; return that one."""
    platform = await start_lasting(nodes=2)
    old = cut_with_a_host(platform)
    (second,) = [name for name in platform.nodes if name != old]
    await wait_until(lambda: owns(platform, second))
    platform.start_node("node2")
    return platform, second


class ForgottenOwnerTest(TestCase):
    def test_next_owner_that_begins_anew_waits_for_the_one_that_is_cut_off(self) -> None:
        """The next owner's new life reads only the newest record, in which it finds itself."""

        async def work() -> None:
            platform = await start_lasting()
            old = cut_with_a_host(platform)
            others = [name for name in platform.nodes if name != old]
            await wait_until(lambda: any(owns(platform, name) for name in others))
            second = next(name for name in others if owns(platform, name))
            platform.kill_node(second)
            await asyncio.sleep(0.5)
            platform.start_node(second)
            await asyncio.sleep(WATCH_S)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_node_that_joined_late_waits_for_the_owner_that_is_cut_off(self) -> None:
        """The third owner hears that the second one has ended; it has not seen the first."""

        async def work() -> None:
            platform, second = await start_with_second_owner()
            await asyncio.sleep(0.2)
            platform.kill_node(second)
            await wait_until(lambda: owns(platform, "node2"))
            await asyncio.sleep(0.3)
            platform.start_node(second)
            await asyncio.sleep(WATCH_S)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_owner_after_a_planned_stop_waits_for_the_one_that_is_cut_off(self) -> None:
        """The second owner gives the pool back; the third one has not seen the first."""

        async def work() -> None:
            platform, second = await start_with_second_owner()
            await asyncio.sleep(1.0)
            await platform.nodes[second].assembled.node.stop(make_stop_budget(platform))
            await wait_until(lambda: owns(platform, "node2"))
            await asyncio.sleep(WATCH_S)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_host_that_heard_of_the_next_owner_is_waited_for_no_longer_than_its_lease(
        self,
    ) -> None:
        """Nobody tells whether the owner that was killed has stopped; the host refuses it."""

        async def work() -> None:
            platform = await start_lasting()
            host, old = get_first_host(platform), kill_owner(platform)
            await wait_until(lambda: get_owner(platform) not in (None, old))
            await asyncio.sleep(HEARD_S)
            cut_host(platform, host)
            cut_at_s = asyncio.get_running_loop().time()
            await asyncio.sleep(WATCH_S)
            again = max(run.began_at_s for run in list_runs(platform))
            self.assertLess(again - cut_at_s, get_lapse_time_s(LEASE_MS, AGAIN_S))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
