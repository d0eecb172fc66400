"""Selection of the owner of a pool by the capacities of the nodes."""

import asyncio
from collections import Counter

from testtools import TestCase

from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.node.capacity import get_capacity_millicores
from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.node.election import Election
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.owner_liveness import OwnerLiveness
from robinthread._internal.node.peer_client import PeerClient
from robinthread._internal.settings.policy_settings import OwnerPolicy
from robinthread._internal.standins.platform_standin import RECORDS
from robinthread._internal.standins.store_standin import StoreStandin
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.http_call import make_client
from tests.lib.virtual import run_virtual

LARGE = tuple(Member(f"large{number}", "1", "", 2000) for number in range(2))
SMALL = tuple(Member(f"small{number}", "1", "", 500) for number in range(6))


def assign_pools(pool_count: int, policy: OwnerPolicy) -> Counter[str]:
    """Assign pools one by one; return the number of pools by node."""

    async def work() -> Counter[str]:
        events = EventLog("n", lambda line: None)
        store = StoreStandin().connect("n")
        owner_liveness = OwnerLiveness(PeerClient(make_client(1)))
        member = GroupMember(store, SMALL[0], events, 1000, owner_liveness)
        config = ConfigHolder(RECORDS, events)
        table = OwnerTable(store, events)
        election = Election(table, SMALL[0], member, owner_liveness, config, events, policy)
        loads: Counter[Member] = Counter()
        for number in range(pool_count):
            loads[election._rank_members(f"pool{number}", LARGE + SMALL, loads)[0]] += 1
        await asyncio.sleep(0)
        return Counter({member.node: count for member, count in loads.items()})

    return run_virtual(work())


class CapacityTest(TestCase):
    def test_slow_link_bounds_the_capacity_of_a_node(self) -> None:
        self.assertEqual(2000, get_capacity_millicores(2.0, 1000))
        self.assertEqual(500, get_capacity_millicores(2.0, 5))
        self.assertEqual(1, get_capacity_millicores(2.0, 0))

    def test_large_nodes_own_pools_before_small_ones(self) -> None:
        owned = assign_pools(6, OwnerPolicy(weighs_capacity=True))
        self.assertEqual({"large0": 3, "large1": 3}, dict(owned))

    def test_small_nodes_own_pools_once_large_ones_are_loaded(self) -> None:
        owned = assign_pools(14, OwnerPolicy(weighs_capacity=True))
        self.assertEqual(8, owned["large0"] + owned["large1"])
        self.assertEqual({1}, {owned[member.node] for member in SMALL})

    def test_without_the_policy_all_nodes_own_equally_many(self) -> None:
        owned = assign_pools(8, OwnerPolicy(weighs_capacity=False))
        self.assertEqual({1}, set(owned.values()))
