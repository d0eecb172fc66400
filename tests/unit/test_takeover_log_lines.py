"""Log lines with the reason for a pool's acquisition and the duration of its opening."""

import asyncio

import msgspec
from testtools import TestCase

from robinthread._internal.durable.member_build import make_incarnation
from robinthread._internal.durable.ownership import Member
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.event_lines import find_lines
from tests.lib.job_platforms import (
    get_owner,
    plan_second,
    start_platform,
    wait_until,
)
from tests.lib.slow_link import start_on_slow_link
from tests.lib.virtual import run_virtual


class TakeoverLogLinesTest(TestCase):
    def test_first_owner_logs_a_free_pool_and_its_opening_times(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            (acquired,) = find_lines(platform, "pool_taken")
            self.assertEqual(("free", ""), (acquired["reason"], acquired["previous"]))
            (opened,) = find_lines(platform, "pool_opened")
            parts = [opened[f"{part}_ms"] for part in ("journal", "progress", "inbox", "hosts")]
            self.assertTrue(all(0 < part <= opened["took_ms"] for part in parts))
            self.assertEqual(0, opened["progress_count"])
            self.assertEqual([], find_lines(platform, "pool_opening_slow"))

        run_virtual(work())

    def test_owner_that_ends_without_notice_is_missing(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            previous = get_owner(platform)
            assert previous is not None
            platform.kill_node(previous)
            await wait_until(lambda: get_owner(platform) is not None)
            acquired = find_lines(platform, "pool_taken")[-1]
            self.assertRegex(acquired["reason"], r"^owner missing for 0\.\d\d s$")
            self.assertEqual(previous, acquired["previous"])

        run_virtual(work())

    def test_restarted_node_acquires_the_pool_of_its_previous_incarnation(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=1)
            platform.kill_node("node0")
            platform.start_node("node0")
            await wait_until(lambda: get_owner(platform) is not None)
            acquired = find_lines(platform, "pool_taken")[-1]
            self.assertEqual(("former life", "node0"), (acquired["reason"], acquired["previous"]))

        run_virtual(work())

    def test_owner_refused_by_the_store_passes_its_pool_on(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            previous = get_owner(platform)
            assert previous is not None
            platform.store.faults.refused.add(previous)
            await wait_until(lambda: get_owner(platform) not in (None, previous))
            acquired = find_lines(platform, "pool_taken")[-1]
            self.assertEqual(("passed on", previous), (acquired["reason"], acquired["previous"]))

        run_virtual(work())

    def test_slow_opening_is_logged_each_second_with_its_missing_parts(self) -> None:
        async def work() -> None:
            platform = start_on_slow_link()
            await wait_until(lambda: get_owner(platform) == "slow")
            slow = find_lines(platform, "pool_opening_slow")
            (opened,) = find_lines(platform, "pool_opened")
            self.assertEqual(1000, opened["progress_count"])
            self.assertEqual(int(opened["took_ms"] / 1000), len(slow))
            self.assertEqual(["progress"], slow[-1]["missing"])
            self.assertGreater(slow[-1]["journal_ms"], 0)
            await asyncio.sleep(2)
            self.assertEqual(slow, find_lines(platform, "pool_opening_slow"))

        run_virtual(work())


class MemberLogLinesTest(TestCase):
    def test_missing_owner_is_logged_once_by_each_other_node(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            previous = get_owner(platform)
            assert previous is not None
            self.assertEqual([], find_lines(platform, "owner_missing"))
            platform.kill_node(previous)
            await wait_until(lambda: get_owner(platform) is not None)
            missing = find_lines(platform, "owner_missing")
            self.assertEqual({previous}, {line["owner"] for line in missing})
            self.assertEqual({2}, {line["listed_count"] for line in missing})
            self.assertEqual(len(missing), len({line["node"] for line in missing}))
            self.assertTrue(all(0 <= line["since_s"] < 0.5 for line in missing))

        run_virtual(work())

    def test_unlisted_member_is_logged_until_it_is_listed(self) -> None:
        async def work() -> None:
            platform = PlatformStandin(plan_second, 1)
            late = Member("late", make_incarnation("life1"), "late", started_at_ms=1)
            platform.store.unlisted.add(msgspec.json.encode(late).decode())
            platform.start_node("late")
            await asyncio.sleep(7)
            lines = find_lines(platform, "member_unlisted", None)
            self.assertEqual([0], [line["listed_count"] for line in lines])
            self.assertEqual([], find_lines(platform, "member_listed", None))
            platform.store.unlisted.clear()
            await asyncio.sleep(1)
            self.assertEqual(1, len(find_lines(platform, "member_unlisted", None)))
            lines = find_lines(platform, "member_listed", None)
            self.assertEqual(
                [("late", 1)], [(line["node"], line["listed_count"]) for line in lines]
            )

        run_virtual(work())
