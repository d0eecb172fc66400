"""Guards against jobs with many due times that fill their owner's memory or hold up others."""

import time

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.occurrence_set import OccurrenceSet
from robinthread._internal.jobs.open_limit import JOB_WAITING_MAX, LARGE_TASKS, POOL_WAITING_MAX
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.upstream_host import make_unknown_host

NOW_MS = 10**12
POLICY = QueuePolicy(name="q", pool="p", host="h", path_prefix="/")
HUGE_COUNT = 10**9
QUICK_S = 1.0


def add_job(pool: PoolJobs, job_id: str, occurrence_count: int, task_count: int = 1) -> Job:
    spec = JobSpec(
        job_id=job_id,
        queue="q",
        pool="p",
        text="",
        steps=(StepSpec(task_count, cpu_millicores=1),),
        occurrence_count=occurrence_count,
        first_due_ms=1,
    )
    return pool.add_job(spec, POLICY, 0, 0.0)


def add_host(pool: PoolJobs) -> Host:
    return pool.add_host(make_unknown_host("host"))


class OpenLimitTest(TestCase):
    def test_overdue_job_has_few_tasks_in_memory(self) -> None:
        pool = PoolJobs()
        job = add_job(pool, "a", 200_000)
        pool.queue_due_tasks(job, NOW_MS)
        pool.open_due_jobs(NOW_MS)
        self.assertLessEqual(len(job.tasks), JOB_WAITING_MAX)
        self.assertEqual(len(job.tasks), len(pool.waiting))

    def test_overdue_job_is_carried_to_its_end(self) -> None:
        pool = PoolJobs()
        host = add_host(pool)
        job = add_job(pool, "a", 3 * JOB_WAITING_MAX)
        while not job.status.is_final:
            pool.open_due_jobs(NOW_MS)
            for task in list(pool.waiting.values()):
                pool.end_run(pool.place(task, host), RunEnd.DONE, "", NOW_MS)
        self.assertEqual(3 * JOB_WAITING_MAX, len(job.tasks))

    def test_tasks_at_work_do_not_hold_up_the_next_occurrence(self) -> None:
        pool = PoolJobs()
        host = add_host(pool)
        job = add_job(pool, "a", 10, task_count=JOB_WAITING_MAX)
        for opened in range(1, 10):
            pool.open_due_jobs(NOW_MS)
            self.assertEqual(opened, job.open_occurrence_count)
            for task in list(pool.waiting.values()):
                pool.place(task, host)

    def test_overdue_jobs_leave_room_for_other_jobs(self) -> None:
        pool = PoolJobs()
        overdue = [add_job(pool, f"a{number}", 200_000) for number in range(20)]
        pool.open_due_jobs(NOW_MS)
        self.assertLessEqual(len(pool.waiting), POOL_WAITING_MAX)
        for job in (add_job(pool, "b", 3), add_job(pool, "c", 0, task_count=5_000)):
            pool.queue_due_tasks(job, NOW_MS)
            self.assertEqual(job.occurrence_count, job.open_occurrence_count)
        self.assertGreaterEqual(min(job.open_occurrence_count for job in overdue), 1)

    def test_large_jobs_are_opened_one_after_another(self) -> None:
        pool = PoolJobs()
        host = add_host(pool)
        large = [add_job(pool, f"a{number}", 0, task_count=20_000) for number in range(3)]
        small = add_job(pool, "b", 0, task_count=LARGE_TASKS)
        for job in (*large, small):
            pool.queue_due_tasks(job, NOW_MS)
        self.assertEqual([1, 0, 0, 1], [job.open_occurrence_count for job in (*large, small)])
        for task in list(large[0].tasks.values())[:10_000]:
            pool.end_run(pool.place(task, host), RunEnd.DONE, "", NOW_MS)
        pool.open_due_jobs(NOW_MS)
        self.assertEqual([1, 1, 0], [job.open_occurrence_count for job in large])
        pool.cancel(large[0], NOW_MS)
        pool.cancel(large[1], NOW_MS)
        pool.open_due_jobs(NOW_MS)
        self.assertEqual(1, large[2].open_occurrence_count)

    def test_retired_occurrences_of_a_record_cost_nothing(self) -> None:
        pool = PoolJobs()
        job = add_job(pool, "a", HUGE_COUNT)
        began_at_s = time.monotonic()
        job.restore_retired([(0, HUGE_COUNT - 1)])
        pool.queue_due_tasks(job, NOW_MS)
        self.assertEqual([HUGE_COUNT - 1], list(job.iter_open_occurrences()))
        self.assertLess(time.monotonic() - began_at_s, QUICK_S)


class OccurrenceSetTest(TestCase):
    @given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 6))))
    def test_set_holds_what_was_added(self, ranges: list[tuple[int, int]]) -> None:
        found, wanted = OccurrenceSet(), set[int]()
        for first, count in ranges:
            found.add_ranges([(first, count)])
            wanted |= set(range(first, first + count))
        self.assertEqual(len(wanted), len(found))
        self.assertEqual(wanted, {n for n in range(40) if n in found})
        listed = [n for first, count in found.list_ranges() for n in range(first, first + count)]
        self.assertEqual(sorted(wanted), listed)
        for first in range(40):
            missing = next(n for n in range(first, 50) if n not in wanted)
            self.assertEqual(missing, found.find_missing(first))
