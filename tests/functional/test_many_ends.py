"""More ends wait on a host than it lists in one report."""

import asyncio

from testtools import TestCase

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_restart import end_previous_incarnation
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.stalls import STALL_S, stop_stalled
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.standins.job_host_standin import ENDS_PER_REPORT_MAX, TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    HOST_CAPACITY,
    POOL,
    QUEUE,
    find_violations,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_until,
    wait_until_done,
)
from tests.lib.virtual import run_virtual

# Tasks of one host whose ends take three reports.
TASK_COUNT = 2 * ENDS_PER_REPORT_MAX + 300
SMALL = Resources(10, 10)
WORK_S = 3.0
# An outage begins this long before the first task ends.
BEFORE_ENDS_S = 0.5
OUTAGE_S = 4.5
# Appends take so long that the ends of one report are still being recorded when the next one
# arrives, after the time in which a stop of the earlier owner may be under way.
SLOW_APPEND_S = 0.8
# Each report's ends are recorded before the next ones are listed: three polls of a host and
# three appends take far less than this.
CLEARED_WITHIN_S = 0.5


def plan_small(task: TaskKey) -> TaskPlan:
    """Plan tasks that end together."""
    return TaskPlan(WORK_S, SMALL)


def make_wide_job() -> JobSpec:
    """Make a job that fits on one host as a whole."""
    return make_job(1, StepSpec(TASK_COUNT, SMALL.cpu_millicores, SMALL.memory_mb))


async def start_wide_job(nodes: int) -> tuple[PlatformStandin, JobSpec]:
    """Start a platform of one host, on which all tasks of a job run."""
    platform = await start_platform(plan_small, nodes=nodes, hosts=1)
    job = make_wide_job()
    await hand_in(platform, "node0", job)
    await wait_until(lambda: len(platform.hosts.ledger.runs) == TASK_COUNT)
    return platform, job


async def end_all_in_outage(platform: PlatformStandin) -> None:
    """Let all tasks end while the store refuses all calls."""
    await asyncio.sleep(WORK_S - BEFORE_ENDS_S)
    platform.store.faults.refused.add("*")
    await asyncio.sleep(OUTAGE_S)
    assert {run.end for run in platform.hosts.ledger.runs} == {RunEnd.DONE.value}


class ManyEndsTest(TestCase):
    def test_tasks_done_during_an_outage_are_not_started_again(self) -> None:
        """Runs whose ends were not listed yet were taken for runs that never began."""

        async def work() -> None:
            platform, job = await start_wide_job(nodes=1)
            owner = get_owner(platform)
            await end_all_in_outage(platform)
            platform.store.faults.refused.clear()
            loop = asyncio.get_running_loop()
            back_at_s = loop.time()
            await wait_until_done(platform, [job])
            self.assertLess(loop.time() - back_at_s, CLEARED_WITHIN_S)
            await asyncio.sleep(WORK_S)
            self.assertEqual(owner, get_owner(platform))
            self.assertEqual([], find_violations(platform))
            self.assertEqual(TASK_COUNT, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_next_owner_waits_for_the_ends_that_are_not_listed_yet(self) -> None:
        """An owner that took the pool over took the ends beyond the first report for missing."""

        async def work() -> None:
            platform, job = await start_wide_job(nodes=3)
            owner = get_owner(platform)
            assert owner is not None
            await end_all_in_outage(platform)
            platform.kill_node(owner)
            platform.store.append_turns.append_duration_s = SLOW_APPEND_S
            platform.store.faults.refused.clear()
            await wait_until_done(platform, [job])
            await asyncio.sleep(WORK_S)
            self.assertNotEqual(owner, get_owner(platform))
            self.assertEqual([], find_violations(platform))
            self.assertEqual(TASK_COUNT, len(platform.hosts.ledger.runs))

        run_virtual(work())

    def test_start_that_never_arrived_is_repeated_once_all_ends_are_listed(self) -> None:
        """A run that is in neither list of a complete report must still be forgotten."""

        async def work() -> None:
            platform, job = await start_wide_job(nodes=1)
            platform.hosts.faults.refused.add("*")
            late = make_job(2, StepSpec(1, SMALL.cpu_millicores, SMALL.memory_mb))
            await hand_in(platform, "node0", late)
            await asyncio.sleep(0.2)
            platform.hosts.faults.refused.clear()
            await end_all_in_outage(platform)
            platform.store.faults.refused.clear()
            await wait_until_done(platform, [job, late])
            self.assertEqual([], find_violations(platform))

        run_virtual(work())


class LeftOutEndTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = PoolJobs()
        self.job = self.pool.add_job(make_job(1), QUEUE, 0, 0.0)
        self.pool.queue_due_tasks(self.job, 0)
        self.previous = self._add_host(1)
        self.placed = self.pool.place(
            self.job.get_task(TaskKey(self.job.id, 0, 0, 0)), self.previous
        )
        self.placed.phase, self.placed.settled_at_s = RunPhase.SENDING, 0.0
        self.pool.confirm_start(self.placed, 0.0)

    def _add_host(self, started_at_ms: int) -> Host:
        record = UpstreamHost(
            "i-1",
            "m-1",
            POOL,
            "m-1:80",
            "",
            "r0",
            HOST_CAPACITY,
            frozenset(),
            host_started_at_ms=started_at_ms,
        )
        host = self.pool.add_host(record)
        host.contact = HostContact.ANSWERING
        return host

    def _end_previous(self, is_present_complete: bool) -> Run:
        host = self._add_host(2)
        end_previous_incarnation(
            self.pool, self.previous, host, (), 1.0, 1.0, 1000, is_present_complete
        )
        return self.placed

    def test_run_of_an_earlier_incarnation_may_be_among_the_ends_left_out(self) -> None:
        """Its task was queued again, though the next report could list it as done."""
        self.assertIsNot(RunPhase.OVER, self._end_previous(is_present_complete=False).phase)
        self.assertNotIn(self.placed.task, self.pool.waiting)

    def test_run_of_an_earlier_incarnation_has_ended_if_all_ends_are_listed(self) -> None:
        self.assertIs(RunPhase.OVER, self._end_previous(is_present_complete=True).phase)
        self.assertIn(self.placed.task, self.pool.waiting)

    def test_run_that_awaits_its_end_does_not_count_as_hung(self) -> None:
        """Its percent stands still because it has ended."""
        self.placed.awaits_end = True
        self.assertEqual([], stop_stalled(self.pool, 2 * STALL_S))
        self.placed.awaits_end = False
        self.assertEqual([self.placed], stop_stalled(self.pool, 2 * STALL_S))
