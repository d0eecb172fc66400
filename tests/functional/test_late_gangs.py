"""A gang whose job is late gets hosts for all of its members.

Demand counts late jobs with a quarter of their resources.  A late gang of three tasks that may not
share a host then requested three quarters of a host, and waited forever in a pool of two hosts
with others in reserve.  This was found on randomly drawn days with host crashes:

    282 undone ('0000000000000018 JobStatus.RUNNING', '0000000000000035 JobStatus.RUNNING')
    hosts [('i-19', 0 runs, 'answering'), ('i-48', 0 runs, 'answering')]
"""

from dataclasses import replace

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from tests.lib.job_platforms import QUEUE, hand_in, make_job, start_platform, wait_for_status
from tests.lib.virtual import run_virtual

GANG = StepSpec(3, cpu_millicores=1000, memory_mb=100, is_gang=True, per_host_max=1)
# Each member needs a host of its own.
LARGE_GANG = StepSpec(3, cpu_millicores=12_000, memory_mb=100, is_gang=True)
# A queue whose jobs are late as soon as they are submitted.
LATE_QUEUE = replace(QUEUE, stretch=0.1, latency_target_ms=0)


def plan_large(task: TaskKey) -> TaskPlan:
    """Plan tasks that use most of a host for 1 s."""
    return TaskPlan(1.0, Resources(12_000, 100), gang_size=LARGE_GANG.task_count)


class LateGangsTest(TestCase):
    def test_late_gang_with_more_members_than_hosts_completes(self) -> None:
        async def work() -> None:
            platform = await start_platform(hosts=1, reserve=4, queue=LATE_QUEUE)
            spec = make_job(1, GANG)
            await hand_in(platform, "node0", spec)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)

        run_virtual(work())

    def test_late_gang_that_exceeds_the_capacity_of_the_pool_completes(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan_large, hosts=1, reserve=4, queue=LATE_QUEUE)
            spec = make_job(1, LARGE_GANG)
            await hand_in(platform, "node0", spec)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)

        run_virtual(work())
