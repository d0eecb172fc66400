"""Lasting tasks whose hosts are lost while a more urgent queue fills their pool."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
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
    restart_owner,
)
from tests.lib.virtual import run_virtual

# The usual tasks of a pool take 1 to 2 s.
SMALL_MIN_S = 1.5
SMALL_STEP_S = 0.1
WATCH_S = 25.0


async def submit_urgent_jobs(platform: PlatformStandin, period_s: float) -> None:
    """Submit an urgent job each ``period_s``, at the running nodes in turn."""
    for number in itertools.count(LASTING_NUMBER + 1):
        nodes = sorted(platform.nodes)
        await hand_in(platform, nodes[number % len(nodes)], make_job(number, SMALL, queue="urgent"))
        await asyncio.sleep(period_s)


def crash_hosts(platform: PlatformStandin, count: int) -> None:
    """Crash the first ``count`` hosts that run lasting tasks."""
    host_ids = list(dict.fromkeys(run.host_id for run in list_runs(platform)))[:count]
    for host_id in host_ids:
        platform.crash_host(host_id)


class LastingInFullPoolTest(TestCase):
    def _check(
        self,
        cause_failure: Callable[[PlatformStandin], Awaitable[None]],
        step: StepSpec = LARGE,
        hosts: int = 3,
        period_s: float = 0.25,
    ) -> None:
        """Cause a failure; lasting tasks must run again in time while urgent tasks still start."""

        def plan(task: TaskKey) -> TaskPlan:
            if task.job_id == LASTING_JOB:
                return TaskPlan(
                    None, step.resources, gang_size=step.task_count if step.is_gang else 0
                )
            return TaskPlan(SMALL_MIN_S + SMALL_STEP_S * task.index, SMALL.resources)

        async def work() -> None:
            platform = await start_platform(plan, nodes=4, hosts=hosts)
            platform.configure(2, (LESS_URGENT, URGENT), POOLS)
            await asyncio.sleep(1)
            await hand_in(platform, "node0", make_job(LASTING_NUMBER, step))
            await wait_until(lambda: len(list_runs(platform)) == step.task_count)
            submitting = asyncio.create_task(submit_urgent_jobs(platform, period_s))
            await asyncio.sleep(3)
            await cause_failure(platform)
            await asyncio.sleep(WATCH_S)
            submitting.cancel()
            self.assertEqual([], find_violations(platform))
            self.assertLess(get_longest_gap_s(platform), AGAIN_MAX_S)
            self.assertGreater(len(list_runs(platform)), step.task_count)
            late_s = asyncio.get_running_loop().time() - WATCH_S / 2
            self.assertTrue(
                any(
                    run.began_at_s > late_s
                    for run in platform.hosts.ledger.runs
                    if run.task.job_id != LASTING_JOB
                )
            )

        run_virtual(work())

    def test_host_is_lost(self) -> None:
        async def cause_failure(platform: PlatformStandin) -> None:
            platform.crash_host(get_first_host(platform).record.id)

        self._check(cause_failure)

    def test_host_is_lost_as_the_owner_is_killed(self) -> None:
        async def cause_failure(platform: PlatformStandin) -> None:
            platform.crash_host(get_first_host(platform).record.id)
            await restart_owner(platform)

        self._check(cause_failure)

    def test_owner_is_killed_while_the_task_waits(self) -> None:
        """The next owner counts the time that the task waited under the previous one."""

        async def cause_failure(platform: PlatformStandin) -> None:
            platform.crash_host(get_first_host(platform).record.id)
            await asyncio.sleep(4.25)
            await restart_owner(platform)

        self._check(cause_failure)

    def test_half_of_the_hosts_are_lost(self) -> None:
        async def cause_failure(platform: PlatformStandin) -> None:
            crash_hosts(platform, 4)

        step = StepSpec(8, cpu_millicores=6000, memory_mb=100, is_lasting=True)
        self._check(cause_failure, step, hosts=8, period_s=0.1)

    def test_host_of_a_gang_is_lost(self) -> None:
        async def cause_failure(platform: PlatformStandin) -> None:
            platform.crash_host(get_first_host(platform).record.id)

        step = StepSpec(
            2, cpu_millicores=8000, memory_mb=100, is_lasting=True, is_gang=True, per_host_max=1
        )
        self._check(cause_failure, step, hosts=4)
