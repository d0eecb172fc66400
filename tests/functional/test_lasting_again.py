"""A lasting task runs again soon, whatever ended its last run."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NoReturn

from testtools import TestCase

from robinthread._internal.node.peer_calls import PeerUnreachableError
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import POOL, find_breaks, wait_until
from tests.lib.lasting import (
    AGAIN_MAX_S,
    cut_host,
    get_first_host,
    get_longest_gap_s,
    kill_owner,
    list_runs,
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

    def test_owner_that_still_reaches_a_host_is_waited_for(self) -> None:
        """The owner is cut off from the store, and is the only one that reaches a host."""

        async def work(peers_are_cut: bool) -> None:
            platform = await start_lasting()
            host = get_first_host(platform)
            old = next(name for name in platform.nodes if _owns(platform, name))
            others = [name for name in platform.nodes if name != old]
            platform.hosts.cut_ways |= {(name, host.record.address) for name in others}
            # Any other host would tell it of the next owner.
            away = platform.hosts.hosts.keys() - {host.record.address}
            platform.hosts.cut_ways |= {(old, address) for address in away}
            platform.store.faults.silent.add(old)
            platform.cut_nodes.add(old)
            await wait_until(lambda: any(_owns(platform, name) for name in others))
            if not peers_are_cut:
                # Nothing tells it that the store serves others.
                platform.cut_nodes.discard(old)
                platform.nodes[old].assembled.node._handover._peers = _NoPeers()
            await asyncio.sleep(WATCH_S)
            self.assertEqual([], find_breaks(platform))
            self.assertEqual("lapsed", list_runs(platform)[0].end)

        for peers_are_cut in (True, False):
            run_virtual(work(peers_are_cut))


class _NoPeers:
    """Peers that never answer."""

    async def ask(self, address: str, *rest: object) -> NoReturn:
        """Find nobody."""
        raise PeerUnreachableError(address)


def _owns(platform: PlatformStandin, node: str) -> bool:
    return POOL in platform.nodes[node].assembled.owned.owners
