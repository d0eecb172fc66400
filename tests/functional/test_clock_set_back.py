"""A node restarts with its clock set back while its previous incarnation is still listed."""

import asyncio
import json
from unittest import mock

from testtools import TestCase

from robinthread._internal.durable.ownership import Member
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.standins import platform_standin
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    HOST_CAPACITY,
    POOL,
    QUEUE,
    find_violations,
    plan_second,
    wait_until,
)
from tests.lib.virtual import run_virtual

NAMES = (POOL, "weave", "print", "fold", "bind", "trim")
POOLS = tuple(map(PoolPolicy, NAMES))
SET_BACK_MS = 3_600_000
# Short enough that the previous incarnation is still listed: its entry has not expired.
RESTART_S = 0.1
WATCH_S = 8.0


def _list_owned(platform: PlatformStandin, name: str) -> list[str]:
    return sorted(platform.nodes[name].assembled.owned.owners)


async def _count_records(set_back_ms: int) -> int:
    """Return how many ownership records follow the restart of a node with several pools."""
    ahead_ms = set_back_ms

    def make(
        node: str, incarnation: str, address: str, capacity: int, started_at_ms: int
    ) -> Member:
        return Member(node, incarnation, address, capacity, started_at_ms + ahead_ms)

    with mock.patch.object(platform_standin, "Member", make):
        platform = PlatformStandin(plan_second)
        platform.configure(1, (QUEUE,), POOLS)
        for pool in NAMES:
            platform.machines.add(pool, "r0", HOST_CAPACITY)
        for number in range(3):
            platform.start_node(f"node{number}")
        nodes = platform.nodes
        await wait_until(lambda: sum(len(_list_owned(platform, name)) for name in nodes) == 6)
        await asyncio.sleep(2)
        name = max(nodes, key=lambda name: len(_list_owned(platform, name)))
        assert len(_list_owned(platform, name)) > 1
        token = max(
            owner.token for node in nodes.values() for owner in node.assembled.owned.owners.values()
        )
        platform.kill_node(name)
        ahead_ms = 0
        await asyncio.sleep(RESTART_S)
        platform.start_node(name)
        await asyncio.sleep(WATCH_S)
    assert not find_violations(platform)
    acquisitions = [
        line for line in map(json.loads, platform.events) if line["event"] == "pool_taken"
    ]
    return max(line["token"] for line in acquisitions) - token


class ClockSetBackTest(TestCase):
    def test_pools_are_acquired_about_as_often_as_with_a_steady_clock(self) -> None:
        usual = run_virtual(_count_records(0))
        self.assertLessEqual(run_virtual(_count_records(SET_BACK_MS)), 2 * usual)
