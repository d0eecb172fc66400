"""Jobs while the store is unavailable or has expired its history."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.standins.job_host_standin import TaskPlan
from tests.lib.job_platforms import (
    find_violations,
    get_others,
    get_owner,
    hand_in,
    hand_in_all,
    make_job,
    start_platform,
    wait_for_status,
    wait_until,
    wait_until_done,
)
from tests.lib.virtual import run_virtual


class StoreOutagesTest(TestCase):
    def test_store_outage_loses_nothing(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            specs = [make_job(number) for number in range(1, 6)]
            await hand_in_all(platform, "node0", specs)
            await asyncio.sleep(0.5)
            platform.store.faults.silent.add("*")
            await asyncio.sleep(5)
            platform.store.faults.silent.clear()
            await wait_until_done(platform, specs)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_expired_history_loses_nothing(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            await hand_in(platform, "node0", make_job(1))
            owner = get_owner(platform)
            assert owner is not None
            platform.store.faults.silent.add(owner)
            await hand_in(platform, get_others(platform)[0], make_job(2))
            platform.store.expire_history()
            platform.store.faults.silent.clear()
            for number in (1, 2):
                job_id = make_job(number).job_id
                await wait_for_status(platform, job_id, JobStatus.SUCCEEDED)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_runs_placed_during_an_outage_begin_at_its_end(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(1.0, Resources(1000, 100)))
            await hand_in(platform, "node0", make_job(1))
            await asyncio.sleep(0.5)
            # The second step's tasks are placed while the store refuses all records.
            platform.store.faults.refused.add("*")
            await asyncio.sleep(6.5)
            self.assertEqual(4, len(platform.hosts.ledger.runs))
            platform.store.faults.refused.clear()
            took_s = await wait_until(lambda: len(platform.hosts.ledger.runs) == 6)
            self.assertTrue(took_s < 0.6, took_s)
            self.assertEqual({1}, {run.number for run in platform.hosts.ledger.runs})

        run_virtual(work())
