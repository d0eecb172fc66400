"""Nodes that reach the store, their peers or the membership list only in part.

The tests check what callers of such a node get, and when a successor takes its steward role.
"""

import asyncio
from typing import Any

from testtools import TestCase

from robinthread._internal.durable.errors import StoreNoAnswerError
from robinthread._internal.durable.ownership import OWNERS_PARTITION
from robinthread._internal.durable.store import NewestPage, Partition
from robinthread._internal.node.election import FLEET_POOL
from robinthread._internal.node.job_service import JobRequestOutcome
from robinthread._internal.node.peer_calls import REQUEST_TIMEOUT_S, PeerUnreachableError
from robinthread._internal.node.peer_messages import RelayRequest
from robinthread._internal.standins.node_settings_standin import BOUNDS
from robinthread._internal.standins.platform_standin import PlatformStandin
from robinthread._internal.standins.store_standin import StoreClient
from tests.lib.job_platforms import (
    get_others,
    get_status,
    hand_in,
    make_job,
    start_platform,
)
from tests.lib.virtual import run_virtual

# A relayed request needs one append, which takes 1.2 s at most.  Callers wait for 3 s.
RELAY_MAX_S = 2.0
LOST_READS = 2


def silence_relays(platform: PlatformStandin, node: str) -> None:
    """Make all relay requests of a node time out, as on silent connections."""
    peers = platform.nodes[node].assembled.job_service._peers
    send_request = peers.send_request

    async def time_out(
        address: str, request: Any, response_type: type, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> Any:
        if isinstance(request, RelayRequest):
            await asyncio.sleep(timeout_s)
            raise PeerUnreachableError("silent")
        return await send_request(address, request, response_type, timeout_s)

    peers.send_request = time_out  # type: ignore[method-assign]


def lose_first_reads_of_owners(client: StoreClient) -> None:
    """Make the first ``LOST_READS`` reads of the owners partition time out."""
    read = client.read_newest
    lost: list[str] = []

    async def time_out(partition: Partition, after_key: str, timeout_s: float) -> NewestPage:
        if partition == OWNERS_PARTITION and len(lost) < LOST_READS:
            lost.append(after_key)
            await asyncio.sleep(timeout_s)
            raise StoreNoAnswerError("lost")
        return await read(partition, after_key, timeout_s)

    client.read_newest = time_out  # type: ignore[method-assign]


class IsolatedNodesTest(TestCase):
    def test_relay_on_a_silent_connection_does_not_hold_its_caller_to_the_deadline(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            name = get_others(platform)[0]
            platform.store.faults.refused.add(name)
            await asyncio.sleep(1.5)
            silence_relays(platform, name)
            began_at_s = asyncio.get_running_loop().time()
            self.assertEqual(JobRequestOutcome.UNKNOWN, await hand_in(platform, name, make_job(1)))
            self.assertLess(asyncio.get_running_loop().time() - began_at_s, RELAY_MAX_S)

        run_virtual(work())

    def test_node_that_has_not_read_the_owners_is_not_ready(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            await hand_in(platform, "node0", make_job(1))
            await asyncio.sleep(4)
            late = platform.start_node("late").assembled
            client = late.owned._context.store
            assert isinstance(client, StoreClient)
            lose_first_reads_of_owners(client)
            for _attempt in range(60):
                await asyncio.sleep(0.1)
                if late.readiness.check():
                    status = await get_status(platform, "late", make_job(1).job_id)
                    self.assertIsNotNone(status)
            self.assertTrue(late.readiness.check())

        run_virtual(work())

    def test_successor_waits_a_turn_for_a_steward_that_may_still_run(self) -> None:
        """The last steward is unlisted and cut off from peers, but reaches store and platform."""

        async def work() -> None:
            platform = await start_platform(nodes=5)
            await asyncio.sleep(2)
            others = [name for name in platform.nodes if not is_steward(platform, name)]
            (last,) = platform.nodes.keys() - set(others)
            member = platform.nodes[last].assembled.node._me
            platform.store.unlisted.add(platform.nodes[last].assembled.node._member._name)
            platform.cut_nodes.add(last)
            platform.start_node("late")
            await asyncio.sleep(5)
            (new,) = (name for name in platform.nodes if is_steward(platform, name))
            self.assertNotEqual(last, new)
            node = platform.nodes[new].assembled.node
            self.assertEqual(member, node._table.previous[FLEET_POOL].owner)
            wait_s = node._get_wait_s()
            self.assertEqual(BOUNDS.steward_turn_ms / 1000, wait_s)

        run_virtual(work())


def is_steward(platform: PlatformStandin, name: str) -> bool:
    """Return whether a node is the steward, which orders machines."""
    return platform.nodes[name].assembled.node._steward is not None
