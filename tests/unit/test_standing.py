"""Lines that tell how a node and its pools stand."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.standins.platform_standin import RESERVE, PlatformStandin
from tests.lib.job_platforms import (
    POOL,
    QUEUE,
    hand_in,
    make_job,
    plan_second,
    start_platform,
)
from tests.lib.virtual import run_virtual
from tests.unit.test_taking_lines import find_lines


class StandingTest(TestCase):
    def test_first_accept_and_first_start_are_told_once(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=1)
            for number in (1, 2):
                await hand_in(platform, "node0", make_job(number))
            await asyncio.sleep(5)
            (accept,) = find_lines(platform, "first_accept")
            (start,) = find_lines(platform, "pool_first_start")
            self.assertEqual(make_job(1).job_id, accept["job"])
            self.assertEqual(make_job(1).job_id, start["job"])
            self.assertTrue(1 <= start["since_opened_s"] < 2)
            self.assertTrue(0 < accept["up_s"] <= start["up_s"])

        run_virtual(work())


class ReadinessTest(TestCase):
    def test_changes_are_told_with_their_reason(self) -> None:
        async def work() -> None:
            platform = PlatformStandin(plan_second, 1)
            node = platform.start_node("node0").assembled
            self.assertFalse(node.readiness.look())
            await asyncio.sleep(1)
            platform.configure(
                1, (QUEUE,), (PoolPolicy(POOL), PoolPolicy(RESERVE, is_reserve=True))
            )
            await asyncio.sleep(2)
            self.assertTrue(node.readiness.look())
            platform.store.faults.silent.add("node0")
            await asyncio.sleep(4)
            platform.store.faults.silent.clear()
            await asyncio.sleep(4)
            unready = [line["reason"] for line in find_lines(platform, "unready", None)]
            self.assertEqual(["no configuration", "no word from the store"], unready)
            self.assertEqual(2, len(find_lines(platform, "ready", None)))
            await node.node.stop()
            self.assertFalse(node.readiness.look())
            self.assertEqual("stopping", find_lines(platform, "unready", None)[-1]["reason"])

        run_virtual(work())
