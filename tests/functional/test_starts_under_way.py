"""A start whose answers are all lost is carried out while it is last sent."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.order_sender import RETRY_PAUSE_S, START_TRIES
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.job_hosts_standin import ORDER_TIMEOUT_S
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import find_violations, hand_in, make_job, start_platform, wait_until
from tests.lib.virtual import run_virtual

# They end one after the other, each 0.05 s: each end has the host report what runs.
MANY = StepSpec(28, cpu_millicores=500, memory_mb=10)
ALONE = make_job(2, StepSpec(1, cpu_millicores=500, memory_mb=10))
ALONE_S = 3.0
# The first start is carried out so late that the last one is under way.
LATE_S = (START_TRIES - 1) * (ORDER_TIMEOUT_S + RETRY_PAUSE_S) + 0.1


def plan(task: TaskKey) -> TaskPlan:
    """Have one task work for long, and many end."""
    work_s = ALONE_S if task.job_id == ALONE.job_id else 1.0 + 0.05 * task.index
    return TaskPlan(work_s, Resources(500, 10))


def count_runs(platform: PlatformStandin) -> int:
    """Count the runs of the task that works for long."""
    return sum(run.task.job_id == ALONE.job_id for run in platform.hosts.ledger.runs)


class StartUnderWayTest(TestCase):
    def test_run_that_is_listed_during_the_last_try_goes_on(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan, hosts=1)
            await hand_in(platform, "node0", make_job(1, MANY))
            await wait_until(lambda: len(platform.hosts.ledger.runs) == MANY.task_count)
            platform.hosts.faults.lost_share = 1.0
            platform.hosts.faults.late_s = (LATE_S, LATE_S)
            await hand_in(platform, "node0", ALONE)
            await wait_until(lambda: count_runs(platform) == 1)
            platform.hosts.faults.lost_share = 0.0
            await asyncio.sleep(ALONE_S + 1)
            self.assertEqual("done", platform.hosts.ledger.runs[-1].end)
            self.assertEqual(1, count_runs(platform))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
