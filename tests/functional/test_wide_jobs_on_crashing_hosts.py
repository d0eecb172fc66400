"""A wide job whose host crashes, through no fault of the job's."""

from testtools import TestCase

from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from tests.lib.job_platforms import (
    find_violations,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_until,
    wait_until_done,
)
from tests.lib.virtual import run_virtual

# All run on one of the two hosts.
TASK_COUNT = 800
SMALL = Resources(10, 10)
WORK_S = 3.0
# The limit of a soak from its last trouble to the end of all jobs.
ENDED_WITHIN_S = 60.0


def plan_small(task: TaskKey) -> TaskPlan:
    """Plan tasks that are sound."""
    return TaskPlan(WORK_S, SMALL, RunEnd.DONE)


class WideJobOnCrashingHostTest(TestCase):
    def test_wide_job_ends_after_its_host_and_owner_are_lost(self) -> None:
        """Each of its tasks is tried alone, one after another, as if it had crashed the host."""

        async def work() -> None:
            platform = await start_platform(plan_small, hosts=2)
            job = make_job(1, StepSpec(TASK_COUNT, SMALL.cpu_millicores, SMALL.memory_mb))
            await hand_in(platform, "node0", job)
            await wait_until(lambda: len(platform.hosts.ledger.runs) == TASK_COUNT)
            owner = get_owner(platform)
            assert owner is not None
            platform.kill_node(owner)
            platform.start_node(owner)
            host_id = platform.hosts.ledger.runs[0].host_id.partition("@")[0]
            platform.crash_and_replace_host(host_id)
            await wait_until_done(platform, [job], ENDED_WITHIN_S)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
