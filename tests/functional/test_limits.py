"""Cancellations, quotas, urgent work and deadlines in a full pool."""

import asyncio

from testtools import TestCase

from robinthread._internal.claims.claim import make_key
from robinthread._internal.fold.kinds.quota_set import QuotaSet
from robinthread._internal.models.urgency import Urgency
from robinthread._internal.results import ResultCode
from tests.lib.fleets import (
    ONE_HALL,
    get_daemon,
    publish,
    serve,
    start_fleet,
)
from tests.lib.virtual import run_virtual


class LimitsTest(TestCase):
    def test_bursts_of_cancellations_get_correct_codes(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL, slots=1)
            daemon = get_daemon(fleet)
            calls = [
                asyncio.create_task(serve(daemon, f"x{n}", run_s=5.0, is_repeatable=True))
                for n in range(12)
            ]
            await asyncio.sleep(1.0)
            codes = await asyncio.gather(
                *(daemon.entry.cancel(make_key("caller", f"rx{n}")) for n in range(12)),
                *(daemon.entry.cancel(make_key("caller", f"rx{n}")) for n in range(12)),
            )
            answers = [(await call).code for call in calls]
            started = sum(fleet.ledger.started.values())
            self.assertEqual(4, started)
            self.assertEqual(4, answers.count(ResultCode.STOPPED_AFTER_START))
            self.assertEqual(8, answers.count(ResultCode.CANCELLED_BEFORE_START))
            self.assertEqual(answers * 2, list(codes))
            unknown = await daemon.entry.cancel(make_key("caller", "nobody"))
            self.assertEqual(ResultCode.NOT_FOUND, unknown)

        run_virtual(work())

    def test_cancellation_at_another_daemon_reaches_the_holder(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            call = asyncio.create_task(serve(fleet.daemons["kandy-d0"], "far", run_s=30.0))
            await asyncio.sleep(1.0)
            code = await fleet.daemons["matale-d1"].entry.cancel(make_key("caller", "rfar"))
            self.assertEqual(ResultCode.STOPPED_AFTER_START, code)
            self.assertEqual(code, (await call).code)

        run_virtual(work())

    def test_quota_bounds_a_team_and_leaves_others_alone(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL, slots=2)
            daemon = get_daemon(fleet)
            await publish(daemon, QuotaSet("greedy", 2, 0))
            await asyncio.sleep(1.0)
            greedy = [
                asyncio.create_task(
                    serve(daemon, f"g{n}", team="greedy", run_s=4.0, is_repeatable=True)
                )
                for n in range(6)
            ]
            await asyncio.sleep(0.5)
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            await serve(daemon, "other", team="modest", run_s=1.0)
            self.assertTrue(loop.time() - started_at_s < 1.5)
            self.assertEqual(2, sum(len(w.list_remaining_s()) for w in fleet.workers.values()))
            await asyncio.gather(*greedy)

        run_virtual(work())

    def test_urgent_work_starts_in_a_full_pool(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL, slots=1)
            low = [
                asyncio.create_task(
                    serve(
                        get_daemon(fleet),
                        f"b{n}",
                        urgency=Urgency.BACKGROUND,
                        run_s=100.0,
                        left_s=900.0,
                        is_repeatable=True,
                    )
                )
                for n in range(8)
            ]
            await asyncio.sleep(1.0)
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            urgent = await serve(get_daemon(fleet, 1), "u", urgency=Urgency.URGENT, run_s=0.5)
            self.assertEqual(ResultCode.RAN, urgent.code)
            self.assertTrue(loop.time() - started_at_s < 9.3)
            done = {answer.code for answer in await asyncio.gather(*low)}
            self.assertEqual({ResultCode.RAN}, done)

        run_virtual(work())

    def test_run_times_are_estimated_from_finished_tasks(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL, slots=1)
            for number in range(40):
                await serve(get_daemon(fleet), f"l{number}", run_s=3.0, is_repeatable=True)
            refused = await serve(get_daemon(fleet), "short", left_s=1.0, is_repeatable=True)
            self.assertEqual(ResultCode.DEADLINE_UNREACHABLE, refused.code)

        run_virtual(work())
