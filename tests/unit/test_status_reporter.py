"""Status lines of a node and its pools, and the node's readiness."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.standins.platform_standin import RESERVE, PlatformStandin
from tests.lib.event_lines import find_lines
from tests.lib.job_platforms import (
    POOL,
    QUEUE,
    get_owner,
    hand_in,
    make_job,
    make_stop_budget,
    plan_second,
    start_platform,
    wait_until,
)
from tests.lib.slow_link import start_on_slow_link
from tests.lib.virtual import run_virtual

LASTING = StepSpec(2, cpu_millicores=1000, memory_mb=100, is_lasting=True)
# More than any host has.
TOO_WIDE = StepSpec(1, cpu_millicores=900_000, memory_mb=100)


class StatusReporterTest(TestCase):
    def test_status_of_an_open_pool_is_logged_every_two_seconds(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=1)
            await hand_in(platform, "node0", make_job(1, LASTING))
            await hand_in(platform, "node0", make_job(2, TOO_WIDE))
            await asyncio.sleep(2)
            before = len(find_lines(platform, "owner_standing"))
            await asyncio.sleep(10)
            lines = find_lines(platform, "owner_standing")
            self.assertEqual(5, len(lines) - before)
            last = lines[-1]
            self.assertEqual(("open", 2), (last["phase"], last["job_count"]))
            self.assertEqual((1, 0), (last["waiting"], last["waiting_lasting"]))
            self.assertTrue(0 < last["opened_in_s"] < 1)
            self.assertTrue(11 <= last["open_for_s"] <= 13.1)
            self.assertGreater(last["answering_hosts"], 0)
            self.assertNotIn("silent_hosts", last)
            self.assertTrue(2.5 < last["lease_left_s"] < 4.5)
            self.assertTrue(0 <= last["store_unconfirmed_for_s"] < 2)
            status_reporter = platform.nodes["node0"].assembled.status_reporter
            self.assertEqual(1.0, status_reporter.read_states()[POOL])
            self.assertEqual(0, status_reporter.count_lasting_not_running()[POOL])

        run_virtual(work())

    def test_status_counts_silent_hosts_and_lasting_tasks_not_running(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=1)
            await hand_in(platform, "node0", make_job(1, LASTING))
            await asyncio.sleep(3)
            platform.hosts.faults.silent.add("node0")
            await asyncio.sleep(9)
            last = find_lines(platform, "owner_standing")[-1]
            self.assertGreater(last["silent_hosts"], 0)
            self.assertNotIn("answering_hosts", last)
            self.assertEqual((2, 2), (last["waiting"], last["waiting_lasting"]))
            self.assertIsNone(last["lease_left_s"])
            status_reporter = platform.nodes["node0"].assembled.status_reporter
            self.assertEqual(2, status_reporter.count_lasting_not_running()[POOL])

        run_virtual(work())

    def test_status_is_logged_before_the_pool_is_open(self) -> None:
        async def work() -> None:
            platform = start_on_slow_link()
            await wait_until(lambda: bool(find_lines(platform, "owner_standing")))
            self.assertIsNone(get_owner(platform))
            self.assertEqual("progress", find_lines(platform, "owner_standing")[-1]["phase"])
            self.assertNotIn("opened_in_s", find_lines(platform, "owner_standing")[-1])
            status_reporter = platform.nodes["slow"].assembled.status_reporter
            self.assertEqual(0.0, status_reporter.read_states()[POOL])

        run_virtual(work())

    def test_first_accept_and_first_start_are_logged_once(self) -> None:
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
    def test_changes_are_logged_with_their_reason(self) -> None:
        async def work() -> None:
            platform = PlatformStandin(plan_second, 1)
            node = platform.start_node("node0").assembled
            self.assertFalse(node.readiness.check())
            await asyncio.sleep(1)
            platform.configure(
                1, (QUEUE,), (PoolPolicy(POOL), PoolPolicy(RESERVE, is_reserve=True))
            )
            await asyncio.sleep(2)
            self.assertTrue(node.readiness.check())
            platform.store.faults.silent.add("node0")
            await asyncio.sleep(4)
            platform.store.faults.silent.clear()
            await asyncio.sleep(4)
            unready = [line["reason"] for line in find_lines(platform, "unready", None)]
            self.assertEqual(["no configuration", "no word from the store"], unready)
            self.assertEqual(2, len(find_lines(platform, "ready", None)))
            await node.node.stop(make_stop_budget(platform))
            self.assertFalse(node.readiness.check())
            self.assertEqual("stopping", find_lines(platform, "unready", None)[-1]["reason"])

        run_virtual(work())
