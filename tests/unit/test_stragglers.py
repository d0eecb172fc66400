"""Detection and moving of tasks that lag behind the others of their step."""

from testtools import TestCase

from robinthread._internal.jobs.host import HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.scheduling import place_waiting
from robinthread._internal.jobs.stragglers import move_stragglers
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost

HOST_CAPACITY = Resources(4000, 1000, 0)
JOB = "0" * 16


def make_pool(step: StepSpec, *jobs: tuple[int, ...]) -> PoolJobs:
    """Make a pool where the n-th task of each job runs on host n, with the given progress.

    Progress is in percent.  All tasks began at 0 s, and all hosts reported at 1 s; one more host
    is empty.
    """
    pool = PoolJobs()
    for number in range(max(map(len, jobs)) + 1):
        record = UpstreamHost(
            f"h{number}", f"m{number}", "", "", "", "r", HOST_CAPACITY, frozenset()
        )
        host = pool.add_host(record)
        host.contact = HostContact.ANSWERING
        host.reported_at_s = 1.0
    for job_number, progress in enumerate(jobs):
        spec = JobSpec(f"{job_number:016x}", "queue", "pool", "", (step,))
        job = pool.add_job(spec, QueuePolicy("queue", "", "", "pool"), 0, 0.0)
        for number, percent in enumerate(progress):
            run = pool.place(job.get_tasks(0, 0)[number], pool.hosts[f"h{number}"])
            run.phase = RunPhase.PRESENT
            run.present_since_s = 0.0
            run.progress_percent = percent
    return pool


def get_run(pool: PoolJobs, number: int) -> Run:
    return next(iter(pool.hosts[f"h{number}"].runs.values()))


class StragglersTest(TestCase):
    STEP = StepSpec(4, cpu_millicores=1000)

    def test_tasks_on_a_slow_host_are_moved_and_the_host_is_paused(self) -> None:
        pool = make_pool(self.STEP, (60, 50, 70, 8), (40, 45, 50, 9))
        moved = move_stragglers(pool, now_s=1.1)
        self.assertEqual(
            list(pool.hosts["h3"].runs.values()), [straggler.run for straggler in moved]
        )
        self.assertTrue(pool.hosts["h3"].is_paused(1.2))

    def test_long_task_on_a_sound_host_is_not_moved(self) -> None:
        pool = make_pool(self.STEP, (60, 50, 70, 8), (40, 45, 50, 44))
        self.assertEqual([], move_stragglers(pool, now_s=1.1))

    def test_single_task_on_a_host_is_not_moved(self) -> None:
        pool = make_pool(self.STEP, (60, 50, 70, 8))
        self.assertEqual([], move_stragglers(pool, now_s=1.1))

    def test_tasks_of_uneven_length_are_not_moved(self) -> None:
        pool = make_pool(self.STEP, (60, 50, 90, 35), (60, 50, 90, 35))
        self.assertEqual([], move_stragglers(pool, now_s=1.1))

    def test_tasks_without_peers_are_not_moved(self) -> None:
        pool = make_pool(StepSpec(2, cpu_millicores=1000), (60, 5), (60, 5))
        self.assertEqual([], move_stragglers(pool, now_s=1.1))

    def test_progress_is_measured_up_to_the_last_report(self) -> None:
        pool = make_pool(self.STEP, (60, 50, 70, 55), (60, 50, 70, 55))
        self.assertEqual([], move_stragglers(pool, now_s=9.0))

    def test_copy_runs_on_another_host_and_the_first_to_end_counts(self) -> None:
        step = StepSpec(4, cpu_millicores=1000, allows_copies=True)
        pool = make_pool(step, (60, 50, 70, 8), (60, 50, 70, 8))
        slow = get_run(pool, 3)
        self.assertEqual([], move_stragglers(pool, now_s=1.1))
        place_waiting(pool, 1.1, 0)
        task = pool.jobs[JOB].get_task(slow.task)
        self.assertEqual(2, len(task.runs))
        self.assertEqual(2, len({run.host_id for run in task.runs}))
        move_stragglers(pool, now_s=1.2)
        self.assertEqual({}, pool.waiting)
        pool.end_run(task.runs[1], RunEnd.DONE, "", 0, 2.0)
        self.assertTrue(task.is_done)
        self.assertEqual([slow], pool.to_stop)

    def test_tasks_on_a_silent_host_get_copies_if_the_step_allows_them(self) -> None:
        for allows_copies in (True, False):
            step = StepSpec(2, cpu_millicores=1000, allows_copies=allows_copies)
            pool = make_pool(step, (60, 50))
            pool.hosts["h1"].contact = HostContact.SILENT
            move_stragglers(pool, now_s=1.1)
            self.assertEqual(int(allows_copies), len(pool.waiting))

    def test_cancelled_job_gets_no_copies(self) -> None:
        step = StepSpec(2, cpu_millicores=1000, allows_copies=True)
        pool = make_pool(step, (60, 50))
        pool.hosts["h1"].contact = HostContact.SILENT
        pool.cancel(pool.jobs[JOB], now_ms=0)
        move_stragglers(pool, now_s=1.1)
        self.assertEqual({}, pool.waiting)
