"""A start whose responses are all lost is executed during its last attempt."""

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

# These tasks end one after the other, every 0.05 s, and each end triggers a report of the host.
MANY = StepSpec(28, cpu_millicores=500, memory_mb=10)
LONG = make_job(2, StepSpec(1, cpu_millicores=500, memory_mb=10))
LONG_S = 3.0
# Delay of the first start's execution, until the last attempt is in progress.
LATE_S = (START_TRIES - 1) * (ORDER_TIMEOUT_S + RETRY_PAUSE_S) + 0.1


def plan(task: TaskKey) -> TaskPlan:
    """Plan one long task, and short ones that end at different times."""
    work_s = LONG_S if task.job_id == LONG.job_id else 1.0 + 0.05 * task.index
    return TaskPlan(work_s, Resources(500, 10))


def count_runs(platform: PlatformStandin) -> int:
    """Count the runs of the long task."""
    return sum(run.task.job_id == LONG.job_id for run in platform.hosts.ledger.runs)


class StartUnderWayTest(TestCase):
    def test_run_that_is_reported_during_the_last_attempt_continues(self) -> None:
        async def work() -> None:
            platform = await start_platform(plan, hosts=1)
            await hand_in(platform, "node0", make_job(1, MANY))
            await wait_until(lambda: len(platform.hosts.ledger.runs) == MANY.task_count)
            platform.hosts.faults.lost_share = 1.0
            platform.hosts.faults.late_s = (LATE_S, LATE_S)
            await hand_in(platform, "node0", LONG)
            await wait_until(lambda: count_runs(platform) == 1)
            platform.hosts.faults.lost_share = 0.0
            await asyncio.sleep(LONG_S + 1)
            self.assertEqual("done", platform.hosts.ledger.runs[-1].end)
            self.assertEqual(1, count_runs(platform))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
