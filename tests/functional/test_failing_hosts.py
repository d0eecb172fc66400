"""Hosts that are silent, slow or fail every task, and jobs that always fail."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from tests.lib.job_platforms import (
    find_violations,
    hand_in,
    hand_in_all,
    make_job,
    start_platform,
    wait_for_status,
    wait_until,
    wait_until_done,
)
from tests.lib.virtual import run_virtual


class FailingHostsTest(TestCase):
    def test_silent_host_keeps_its_tasks_until_its_lease_has_lapsed(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(6.0, Resources(1000, 100)))
            spec = make_job(1, StepSpec(4, cpu_millicores=1000))
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 4)
            run = platform.hosts.ledger.runs[0]
            host = next(
                host for host in platform.hosts.hosts.values() if host.record.id == run.host_id
            )
            platform.hosts.cut_routes |= {(name, host.record.address) for name in platform.nodes}
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual([], find_violations(platform))
            self.assertEqual("lapsed", run.end)

        run_virtual(work())

    def test_orders_executed_late_run_no_task_twice(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            platform.hosts.faults.lost_share = 0.2
            platform.hosts.faults.late_s = (2.0, 12.0)
            specs = [make_job(number) for number in range(1, 9)]
            await hand_in_all(platform, "node0", specs)
            await asyncio.sleep(6)
            platform.hosts.faults.lost_share = 0.0
            await wait_until_done(platform, specs)
            await asyncio.sleep(15)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_host_that_fails_all_is_excluded_and_the_jobs_are_done(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            bad = next(iter(platform.hosts.hosts.values()))
            bad.fails_all = True
            specs = [make_job(number) for number in range(1, 13)]
            await hand_in_all(platform, "node0", specs)
            await wait_until_done(platform, specs)
            failed = [run for run in platform.hosts.ledger.runs if run.end == "failed"]
            self.assertTrue(len(failed) <= 24, len(failed))

        run_virtual(work())

    def test_jobs_that_always_fail_take_no_host_from_others(self) -> None:
        async def work() -> None:
            failing = {make_job(number).job_id for number in range(1, 9)}

            def plan(task: TaskKey) -> TaskPlan:
                end = RunEnd.FAILED if task.job_id in failing else RunEnd.DONE
                return TaskPlan(0.2, Resources(1000, 100), end)

            platform = await start_platform(plan, hosts=2)
            for number in range(1, 9):
                await hand_in(platform, "node0", make_job(number))
            await asyncio.sleep(0.5)
            spec = make_job(9)
            await hand_in(platform, "node0", spec)
            took_s = await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertTrue(took_s < 2, took_s)

        run_virtual(work())

    def test_job_that_always_fails_is_failed_after_its_attempts(self) -> None:
        async def work() -> None:
            def plan(task: TaskKey) -> TaskPlan:
                end = RunEnd.FAILED if task.index == 2 else RunEnd.DONE
                return TaskPlan(0.3, Resources(1000, 100), end)

            platform = await start_platform(plan)
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await wait_for_status(platform, spec.job_id, JobStatus.FAILED)
            failed = [run for run in platform.hosts.ledger.runs if run.end == "failed"]
            numbers = [run.number for run in failed]
            self.assertEqual(3, len(numbers))
            self.assertEqual(sorted(set(numbers)), numbers)

        run_virtual(work())
