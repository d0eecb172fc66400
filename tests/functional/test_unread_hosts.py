"""Nodes that cannot read the list of hosts while the store serves them otherwise."""

import asyncio

from testtools import TestCase

from robinthread._internal.standins.platform_standin import HOSTS, PlatformStandin
from tests.lib.event_lines import find_lines
from tests.lib.job_platforms import find_violations, get_owner, wait_until
from tests.lib.task_failures import (
    find_faults_of_listing,
    find_unfinished,
    plan_wide,
    read_lines,
    start_loaded,
)
from tests.lib.virtual import run_virtual

# Time in which an owner that cannot read the hosts has handed its pool over.
HANDED_OVER_MAX_S = 9.0
UNREAD_S = 20
# Two hosts take eight tasks of a second each, and ten a second are owed while none may start.
CAUGHT_UP_MAX_S = 2 * UNREAD_S


class UnreadMembersTest(TestCase):
    def test_members_are_not_listed_before_the_first_join(self) -> None:
        """Guards against ten failed calls and lines a second while the store is not up yet."""

        async def work() -> None:
            platform = PlatformStandin(plan_wide)
            platform.store.faults.refused.add("*")
            platform.start_node("node0")
            await asyncio.sleep(5)
            self.assertEqual([], read_lines(platform, "members_unread"))
            platform.store.faults.refused.clear()
            await asyncio.sleep(2)
            self.assertEqual(1, len(platform.nodes["node0"].assembled.node._member.members))

        run_virtual(work())


class UnreadHostsTest(TestCase):
    def test_pool_moves_to_a_node_that_reads_the_hosts(self) -> None:
        """Guards against a pool that stands still though another node could serve it."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded(nodes=3)
            owner = get_owner(platform) or ""
            platform.store.unreadable_by.add((owner, HOSTS.topic))
            await wait_until(lambda: get_owner(platform) not in (owner, None), HANDED_OVER_MAX_S)
            self.assertEqual([], await find_faults_of_listing(platform))
            await asyncio.sleep(20)
            self.assertNotEqual(owner, get_owner(platform))
            given_up = read_lines(platform, "pools_given_up")
            self.assertEqual(1, len(given_up))
            self.assertEqual("the hosts cannot be read", given_up[0]["reason"])
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node2", jobs))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_pool_stays_while_no_node_reads_the_hosts(self) -> None:
        """Guards against a pool that no node can open once its owner has given it up."""

        async def work() -> None:
            platform, jobs, loading = await start_loaded(nodes=3)
            owner, taken = get_owner(platform), len(find_lines(platform, "pool_taken"))
            platform.store.unreadable_topics.add(HOSTS.topic)
            await asyncio.sleep(UNREAD_S)
            self.assertEqual(owner, get_owner(platform))
            self.assertEqual(taken, len(find_lines(platform, "pool_taken")))
            platform.store.unreadable_topics.clear()
            loading.cancel()
            self.assertEqual([], await find_unfinished(platform, "node2", jobs, CAUGHT_UP_MAX_S))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
