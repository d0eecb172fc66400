"""A machine whose hosts crash whatever they run, among sound ones."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_status import JobStatus
from tests.lib.crashing import CRASH_AFTER_S, feed, make_jobs, wait_until_ended
from tests.lib.job_platforms import find_violations, plan_second, start_platform
from tests.lib.virtual import run_virtual

# Jobs come for 30 s, in which it is back each 3 s and would be tried as often; tried half as
# often each time it crashes four times, and once more by chance.
JOBS = 600
JOB_PERIOD_S = 0.05
CRASHES_MAX = 5


class CrashingMachinesTest(TestCase):
    def test_machine_that_crashes_whatever_it_runs_gets_less_and_less(self) -> None:
        """Each of its crashes took some ten runs with it: nine in 30 s, and 96 runs."""

        async def work() -> int:
            platform = await start_platform(plan_second, hosts=8)
            platform.crashing_machines["m-0"] = CRASH_AFTER_S
            platform.crash_and_replace_host(platform.machines.machines["m-0"].host_id)
            await asyncio.sleep(5)
            specs = make_jobs(JOBS)
            await feed(platform, specs, JOB_PERIOD_S)
            statuses = await wait_until_ended(platform, specs, 30)
            self.assertEqual({JobStatus.SUCCEEDED}, set(statuses.values()))
            self.assertEqual([], find_violations(platform))
            return len({run.host_id for run in platform.hosts.ledger.runs if run.end == "crashed"})

        self.assertLessEqual(run_virtual(work()), CRASHES_MAX)
