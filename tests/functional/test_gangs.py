"""Gangs: steps whose tasks run only together."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    find_violations,
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

MEMBER_RESOURCES = Resources(6000, 100)
GANG = StepSpec(4, cpu_millicores=6000, memory_mb=100, is_gang=True)


def plan_gang(task: TaskKey) -> TaskPlan:
    return TaskPlan(2.0, MEMBER_RESOURCES, gang_size=4)


def count_ends(platform: PlatformStandin, end: RunEnd) -> int:
    return sum(run.end == end.value for run in platform.hosts.ledger.runs)


class GangTest(TestCase):
    def test_members_start_together_with_one_run_number(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan_gang)
            spec = make_job(1, GANG)
            await hand_in(platform, "node0", spec)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual({1}, {run.number for run in platform.hosts.ledger.runs})
            self.assertEqual(4, len(platform.hosts.ledger.runs))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_gangs_that_do_not_fit_wait_as_a_whole(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan_gang, hosts=3)
            specs = [make_job(number, GANG) for number in range(1, 5)]
            await hand_in_all(platform, "node0", specs)
            await wait_until_done(platform, specs)
            self.assertEqual(0, count_ends(platform, RunEnd.GANG_ALONE))
            self.assertEqual(16, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_gang_that_loses_a_member_restarts_as_a_whole(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan_gang)
            spec = make_job(1, GANG)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 4)
            await asyncio.sleep(0.5)
            platform.crash_host(platform.hosts.ledger.runs[0].host_id)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED, limit_s=60)
            self.assertEqual(0, count_ends(platform, RunEnd.GANG_ALONE))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_gang_keeps_running_under_the_next_owner(self) -> None:
        async def work() -> None:
            platform = await start_platform(
                lambda task: TaskPlan(5.0, MEMBER_RESOURCES, gang_size=4)
            )
            spec = make_job(1, GANG)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 4)
            platform.kill_node(get_owner(platform) or "")
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED, limit_s=60)
            self.assertEqual(4, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_failures_of_one_run_count_once(self) -> None:
        def plan_failing(task: TaskKey) -> TaskPlan:
            return TaskPlan(1.0, MEMBER_RESOURCES, RunEnd.FAILED, gang_size=4)

        async def work() -> None:
            platform = await start_platform(plan_failing)
            spec = make_job(1, GANG)
            await hand_in(platform, "node0", spec)
            await wait_for_status(platform, spec.job_id, JobStatus.FAILED, limit_s=60)
            self.assertEqual({1, 2, 3}, {run.number for run in platform.hosts.ledger.runs})

        run_virtual(work())
