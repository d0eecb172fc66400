"""A lasting task of a less urgent queue runs again although a more urgent one fills the pool."""

import asyncio
import itertools

from testtools import TestCase

from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    POOLS,
    find_violations,
    hand_in,
    make_job,
    start_platform,
    wait_until,
)
from tests.lib.lasting import (
    AGAIN_MAX_S,
    LARGE,
    LASTING_JOB,
    LASTING_NUMBER,
    LESS_URGENT,
    SMALL,
    URGENT,
    get_first_host,
    get_longest_gap_s,
    list_runs,
)
from tests.lib.virtual import run_virtual


class LastingBehindUrgentTest(TestCase):
    def test_lasting_task_of_a_less_urgent_queue_runs_again(self) -> None:
        def plan(task: TaskKey) -> TaskPlan:
            if task.job_id == LASTING_JOB:
                return TaskPlan(None, LARGE.resources)
            return TaskPlan(1.0 + 0.13 * task.index, SMALL.resources)

        async def submit_urgent_jobs(platform: PlatformStandin) -> None:
            for number in itertools.count(LASTING_NUMBER + 1):
                job = make_job(number, SMALL, queue=URGENT.name)
                await hand_in(platform, next(iter(platform.nodes)), job)
                await asyncio.sleep(0.25)

        async def work() -> None:
            platform = await start_platform(plan, nodes=4, hosts=3)
            platform.configure(2, (LESS_URGENT, URGENT), POOLS)
            await asyncio.sleep(1)
            await hand_in(platform, "node0", make_job(LASTING_NUMBER, LARGE))
            await wait_until(lambda: len(list_runs(platform)) == LARGE.task_count)
            submitting = asyncio.create_task(submit_urgent_jobs(platform))
            await asyncio.sleep(3)
            platform.crash_host(get_first_host(platform).record.id)
            await asyncio.sleep(25)
            submitting.cancel()
            self.assertEqual([], find_violations(platform))
            self.assertLess(get_longest_gap_s(platform), AGAIN_MAX_S)

        run_virtual(work())
