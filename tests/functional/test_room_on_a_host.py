"""Tasks that fit on none of a pool's hosts, although its free resources in total suffice.

The planner must fetch or retain a host for them: the sum of resources shows no need for one.
"""

import asyncio

from testtools import TestCase

from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    POOL,
    find_violations,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
    wait_until,
)
from tests.lib.virtual import run_virtual

# The longest time until a task runs on a fetched host: a step of the steward, the move of 1.5 s,
# the host's entry in the store, its first poll and the record of the run.
FETCHED_S = 2.5
# The longest time until a task runs on a vacating host that is retained: two steps of the
# steward and the record of the run.
RETAINED_S = 0.6
# Lasting tasks that may not share a host and leave 10 of 16 cores and 15 of 32 GB.
SPREAD = StepSpec(
    3,
    cpu_millicores=6_000,
    memory_mb=17_000,
    is_lasting=True,
    per_host_max=1,
    not_running_max=1,
    has_not_running_limit=True,
)
WIDE = StepSpec(1, cpu_millicores=13_000, memory_mb=1_000)
# Fits only on a host without a lasting task, and leaves capacity for a WIDE task there.
BESIDE_NONE = StepSpec(1, cpu_millicores=1_000, memory_mb=15_500, estimate_ms=6_000)


async def start(hosts: int, reserve: int, lasting: JobSpec, ending_s: float) -> PlatformStandin:
    """Start a platform whose hosts run lasting tasks; other tasks end after ``ending_s``."""
    lasting_ids = {lasting.job_id, *LASTING_IDS}

    def plan(task: TaskKey) -> TaskPlan:
        seconds = None if task.job_id in lasting_ids else ending_s
        return TaskPlan(seconds, Resources(1000, 100))

    platform = await start_platform(plan, hosts=hosts, reserve=reserve)
    await hand_in(platform, "node0", lasting)
    await wait_for_starts(platform, lasting, lasting.steps[0].task_count)
    return platform


# Ids of further jobs with lasting tasks.
LASTING_IDS = frozenset(make_job(number).job_id for number in range(100, 110))


async def wait_for_starts(
    platform: PlatformStandin, spec: JobSpec, count: int, limit_s: float = 6
) -> float:
    """Wait until ``count`` runs of a job have started; return how long that took."""
    return await wait_until(lambda: count_starts(platform, spec) >= count, limit_s)


def count_starts(platform: PlatformStandin, spec: JobSpec) -> int:
    """Count the runs of a job that have started."""
    return sum(run.task.job_id == spec.job_id for run in platform.hosts.ledger.runs)


def count_machines(platform: PlatformStandin) -> int:
    """Count the pool's machines."""
    return sum(machine.pool == POOL for machine in platform.machines.machines.values())


def count_fetched(platform: PlatformStandin) -> int:
    """Count the machines that the steward has moved to the pool."""
    return sum(f'"to_pool":"{POOL}"'.encode() in line for line in platform.events)


def count_vacating(platform: PlatformStandin) -> int:
    """Count the pool's hosts that are being vacated."""
    owner = platform.nodes[get_owner(platform) or ""].assembled.owned.owners[POOL]
    now_s = asyncio.get_running_loop().time()
    return sum(now_s < host.vacating_until_s for host in owner.jobs.hosts.values())


class WideTaskTest(TestCase):
    def test_host_is_fetched_for_a_task_that_fits_beside_no_lasting_task(self) -> None:
        async def work() -> None:
            spread = make_job(1, SPREAD)
            platform = await start(3, 3, spread, ending_s=1.0)
            wide = make_job(2, WIDE)
            await hand_in(platform, "node0", wide)
            took_s = await wait_for_starts(platform, wide, 1)
            self.assertLess(took_s, FETCHED_S)

        run_virtual(work())

    def test_all_tasks_complete_and_the_hosts_are_released(self) -> None:
        async def work() -> None:
            spread = make_job(1, SPREAD)
            platform = await start(3, 3, spread, ending_s=1.0)
            # The job is late from the start, so hosts are requested for only a part of it.
            wide = make_job(2, StepSpec(5, cpu_millicores=13_000, memory_mb=1_000))
            await hand_in(platform, "node0", wide)
            took_s = await wait_for_status(platform, wide.job_id, JobStatus.SUCCEEDED)
            self.assertLess(took_s, FETCHED_S + 5 * 1.3)
            await wait_until(lambda: count_machines(platform) == 3, limit_s=3)
            await asyncio.sleep(3)
            self.assertEqual(3, count_machines(platform))
            # None of the lasting tasks was moved.
            self.assertEqual(3, count_starts(platform, spread))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_vacating_host_is_retained_for_a_task_that_fits_only_there(self) -> None:
        async def work() -> None:
            platform = await start(4, 0, make_job(1, SPREAD), ending_s=6.0)
            blocking = make_job(2, BESIDE_NONE)
            await hand_in(platform, "node0", blocking)
            await wait_for_starts(platform, blocking, 1)
            await wait_until(lambda: count_vacating(platform) == 1, limit_s=3)
            wide = make_job(3, WIDE)
            await hand_in(platform, "node0", wide)
            took_s = await wait_for_starts(platform, wide, 1)
            self.assertLess(took_s, RETAINED_S)

        run_virtual(work())


class WideLastingTaskTest(TestCase):
    def test_host_is_fetched_for_a_lasting_task_with_much_memory(self) -> None:
        async def work() -> None:
            platform = await start(3, 3, make_job(1, SPREAD), ending_s=1.0)
            wide = make_job(
                100, StepSpec(1, cpu_millicores=1_000, memory_mb=20_000, is_lasting=True)
            )
            await hand_in(platform, "node0", wide)
            took_s = await wait_for_starts(platform, wide, 1)
            self.assertLess(took_s, FETCHED_S)
            await asyncio.sleep(5)
            self.assertEqual(4, len(platform.hosts.ledger.runs))

        run_virtual(work())


class RestrictedTasksTest(TestCase):
    """Tasks that a label or a limit per host excludes from the hosts with enough capacity."""

    def test_host_is_fetched_if_hosts_with_capacity_are_at_their_limit_of_tasks(self) -> None:
        async def work() -> None:
            large = make_job(
                1, StepSpec(1, cpu_millicores=1_000, memory_mb=20_000, is_lasting=True)
            )
            platform = await start(3, 3, large, ending_s=1.0)
            spread = make_job(
                100,
                StepSpec(
                    3, cpu_millicores=1_000, memory_mb=14_000, is_lasting=True, per_host_max=1
                ),
            )
            await hand_in(platform, "node0", spread)
            took_s = await wait_for_starts(platform, spread, 3)
            self.assertLess(took_s, FETCHED_S)

        run_virtual(work())

    def test_host_with_the_label_is_fetched_if_those_with_it_are_full(self) -> None:
        async def work() -> None:
            labelled = make_job(
                1, StepSpec(1, cpu_millicores=10_000, is_lasting=True, required_label="r1")
            )
            platform = await start(2, 4, labelled, ending_s=1.0)
            wide = make_job(2, StepSpec(1, cpu_millicores=8_000, required_label="r1"))
            await hand_in(platform, "node0", wide)
            took_s = await wait_for_starts(platform, wide, 1)
            self.assertLess(took_s, FETCHED_S)
            self.assertEqual(1, count_fetched(platform))

        run_virtual(work())

    def test_no_host_is_fetched_for_tasks_that_fit_on_no_machine(self) -> None:
        async def work() -> None:
            platform = await start(2, 4, make_job(1, SPREAD), ending_s=1.0)
            await asyncio.sleep(3)
            fetched = count_fetched(platform)
            await hand_in(platform, "node0", make_job(2, StepSpec(1, required_label="none")))
            await hand_in(platform, "node0", make_job(3, StepSpec(1, cpu_millicores=17_000)))
            await asyncio.sleep(6)
            self.assertEqual(fetched, count_fetched(platform))

        run_virtual(work())
