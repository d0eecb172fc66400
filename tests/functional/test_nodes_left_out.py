"""A node that the store turns away, or answers late, and what its callers get."""

import asyncio
from typing import Any

from testtools import TestCase

from robinthread._internal.node.job_gate import GateOutcome
from robinthread._internal.node.peer_calls import ASK_TIMEOUT_S, PeerUnreachableError
from robinthread._internal.node.peer_messages import RelayQuestion
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    get_others,
    hand_in,
    make_job,
    start_platform,
)
from tests.lib.virtual import run_virtual

# A relay takes one append, of which the slowest takes 1.2 s; callers wait 3 s.
RELAYED_WITHIN_S = 2.0


def silence_relays(platform: PlatformStandin, node: str) -> None:
    """Have what a node relays go out on connections that have gone silent."""
    peers = platform.nodes[node].assembled.gate._peers
    ask = peers.ask

    async def lose(
        address: str, question: Any, answer_type: type, timeout_s: float = ASK_TIMEOUT_S
    ) -> Any:
        if isinstance(question, RelayQuestion):
            await asyncio.sleep(timeout_s)
            raise PeerUnreachableError("silent")
        return await ask(address, question, answer_type, timeout_s)

    peers.ask = lose  # type: ignore[method-assign]


class NodesLeftOutTest(TestCase):
    def test_relay_on_a_silent_connection_does_not_hold_its_caller_to_the_deadline(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            name = get_others(platform)[0]
            platform.store.faults.refused.add(name)
            await asyncio.sleep(1.5)
            silence_relays(platform, name)
            began_at_s = asyncio.get_running_loop().time()
            self.assertEqual(GateOutcome.UNKNOWN, await hand_in(platform, name, make_job(1)))
            self.assertLess(asyncio.get_running_loop().time() - began_at_s, RELAYED_WITHIN_S)

        run_virtual(work())
