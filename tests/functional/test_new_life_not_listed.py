"""A restarted node keeps its pool while the store lists only its previous incarnation."""

import asyncio
import json

import msgspec
from testtools import TestCase

from tests.lib.job_platforms import POOL, get_owner, start_platform
from tests.lib.virtual import run_virtual

# A killed incarnation stays listed for its time to live; one without a partition is not listed.
RESTART_S = 0.1
WATCH_S = 5.0
# Too little above the capacity of the others for a transfer of the pool to it.
CAPACITY_MILLICORES = 1200
SETTLE_S = 3.0


class NewLifeNotListedTest(TestCase):
    def test_new_incarnation_that_responds_keeps_its_pool(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=4)
            name = get_owner(platform)
            assert name is not None
            # It ranks before a previous incarnation as an owner of the pool.
            platform.start_node("late", CAPACITY_MILLICORES)
            await asyncio.sleep(SETTLE_S)
            before = len(platform.events)
            platform.kill_node(name)
            await asyncio.sleep(RESTART_S)
            node = platform.start_node(name).assembled.node
            platform.store.unlisted.add(msgspec.json.encode(node._me).decode())
            await asyncio.sleep(WATCH_S)
            later = [json.loads(line) for line in platform.events[before:]]
            taken = [line for line in later if line["event"] == "pool_taken"]
            self.assertEqual([name], [line["node"] for line in taken if line["pool"] == POOL])

        run_virtual(work())
