"""Responses to start orders are lost, and tasks end before the order is sent again."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from tests.lib.job_platforms import (
    find_violations,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
)
from tests.lib.virtual import run_virtual

JOBS = 10
# Shorter than the time after which a start order without a response is sent again.
TASK_S = 0.2


def plan_short(task: TaskKey) -> TaskPlan:
    """Plan 0.2 s of work and about a third of a host's CPU for each task."""
    return TaskPlan(TASK_S, Resources(5000, 100))


class LostStartAnswersTest(TestCase):
    def test_task_that_ended_before_the_resend_is_not_run_again(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan_short)
            platform.hosts.faults.lost_share = 0.4
            for number in range(JOBS):
                await hand_in(platform, "node0", make_job(number))
            for number in range(JOBS):
                await wait_for_status(platform, f"{number:016x}", JobStatus.SUCCEEDED, 60)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_start_refused_for_capacity_after_a_lost_response_is_stopped_first(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan_short)
            platform.hosts.faults.lost_share = 0.4
            platform.hosts.faults.late_s = (0.0, 2.0)
            for number in range(JOBS):
                await hand_in(platform, "node0", make_job(number))
                await asyncio.sleep(0.05)
            for number in range(JOBS):
                await wait_for_status(platform, f"{number:016x}", JobStatus.SUCCEEDED, 60)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
