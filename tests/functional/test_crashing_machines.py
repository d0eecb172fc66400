"""A faulty machine whose hosts crash whatever they run, among sound machines."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_status import JobStatus
from tests.lib.crashing import CRASH_AFTER_S, feed, make_jobs, wait_until_ended
from tests.lib.job_platforms import find_violations, plan_second, start_platform
from tests.lib.virtual import run_virtual

# Jobs arrive for 30 s.  The machine is back every 3 s and would get work as often; with the pause
# doubled after each crash it crashes four times, and once more by chance.
JOBS = 600
JOB_PERIOD_S = 0.05
CRASHES_MAX = 5


class CrashingMachinesTest(TestCase):
    def test_faulty_machine_gets_work_less_and_less_often(self) -> None:
        """Without pauses, the machine crashed nine times in 30 s and ended 96 runs."""

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
