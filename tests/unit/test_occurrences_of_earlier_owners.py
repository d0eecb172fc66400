"""Guards against tasks that are run again since their occurrence was opened by an earlier owner."""

import msgspec
from testtools import TestCase

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.open_limit import POOL_WAITING_MAX
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.task_key import TaskKey
from tests.lib.drawn_owners import find_in_owners
from tests.lib.job_platforms import QUEUE, make_job
from tests.lib.recorded_jobs import Recorded, finish, make_pool, make_wide_job, record, start

TASKS = 300
NOW_MS = 10**6
# The first ones had tasks that were run again.
SEEDS = (54, 72, 91, 110, 133, *range(10))


class OccurrencesOfEarlierOwnersTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.spec = make_wide_job(TASKS, occurrence_count=4)
        self.recorded = Recorded()
        pool, job = make_pool(self.spec)
        pool.queue_due_tasks(job, 2000)
        for occurrence in range(3):
            start(pool, job, range(TASKS), occurrence)
        record(job, self.recorded)

    def test_occurrence_that_ends_while_none_may_be_opened_is_not_run_again(self) -> None:
        """An owner that could not open an occurrence at work ran all its tasks again."""
        pool, job = self._take_over()
        other = add_waiting_job(pool)
        self._end_second_occurrence(pool, job)
        pool.cancel(other, NOW_MS)
        pool.open_due_jobs(NOW_MS)
        self._check_second_occurrence_is_over(pool, job)

    def test_occurrence_that_ends_before_it_is_due_by_a_late_clock_is_not_run_again(self) -> None:
        """An owner whose clock was behind ran the tasks again once the occurrence was due."""
        pool, job = self._take_over()
        pool.open_due_jobs(0)
        self._end_second_occurrence(pool, job)
        pool.open_due_jobs(NOW_MS)
        self._check_second_occurrence_is_over(pool, job)

    def test_occurrence_with_runs_is_open(self) -> None:
        """Limits and forecasts of an owner left out what an earlier one had opened."""
        _, job = self._take_over()
        self.assertEqual([0, 1, 2], list(job.iter_open_occurrences()))
        self.assertEqual(3 * (TASKS + 1), job.open_task_count)
        self.assertEqual(3, job.next_occurrence)

    def test_only_occurrences_with_runs_are_taken_for_opened(self) -> None:
        """A late occurrence that has begun must not open those before it at once."""
        pool, job = make_pool(self.spec)
        recorded = Recorded()
        pool.queue_due_tasks(job, 3000)
        start(pool, job, range(1), occurrence=2)
        record(job, recorded)
        pool, job = make_pool(self.spec, recorded.load())
        self.assertEqual([2], list(job.iter_open_occurrences()))
        self.assertEqual(TASKS - 1, len(pool.waiting))
        pool.open_due_jobs(NOW_MS)
        self.assertEqual([0, 1, 2], list(job.iter_open_occurrences())[:3])

    def test_task_of_a_retired_occurrence_is_done_whoever_asks(self) -> None:
        """The tasks of a retired occurrence were made anew, not done and without runs."""
        pool, job = self._take_over()
        finish(pool, job, range(TASKS), 1)
        finish_last_step(pool, job, 1)
        record(job, self.recorded)
        self.assertIn(1, job.retired)
        key = TaskKey(job.id, 1, 0, 0)
        self.assertTrue(job.get_task(key).is_done)
        self.assertTrue(all(task.is_done for task in job.get_tasks(1, 0)))
        self.assertFalse(pool.record_late_completion(key, 1, "", NOW_MS))

    def test_no_task_that_is_done_and_recorded_is_started_again(self) -> None:
        """Guards against the same in other orders of events, with gangs, steps, parts and clocks.

        By days on which the pool's owner is stopped, killed or replaced by one with another clock.
        """
        found = map(find_in_owners, SEEDS)
        self.assertEqual([], [day for day in found if not day.is_clean])

    def _take_over(self) -> tuple[PoolJobs, Job]:
        return make_pool(self.spec, self.recorded.load())

    def _end_second_occurrence(self, pool: PoolJobs, job: Job) -> None:
        finish(pool, job, range(TASKS), 1)
        finish_last_step(pool, job, 1)
        record(job, self.recorded)
        finish(pool, job, range(TASKS), 0)
        finish_last_step(pool, job, 0)
        record(job, self.recorded)

    def _check_second_occurrence_is_over(self, pool: PoolJobs, job: Job) -> None:
        self.assertEqual([], [key for key in pool.waiting if key.occurrence < 2])
        self.assertEqual([2, 3], list(job.iter_open_occurrences()))


def finish_last_step(pool: PoolJobs, job: Job, occurrence: int) -> None:
    """Run the single task of the second step to its end."""
    start(pool, job, range(1), occurrence, step=1)
    finish(pool, job, range(1), occurrence, step=1)


def add_waiting_job(pool: PoolJobs) -> Job:
    """Add a timed job with as many waiting tasks as keep other jobs from opening occurrences."""
    step = StepSpec(POOL_WAITING_MAX, cpu_millicores=1)
    spec = msgspec.structs.replace(make_job(2, step), occurrence_count=1)
    job = pool.add_job(spec, QUEUE, 1, 0.0)
    pool.queue_due_tasks(job, NOW_MS)
    return job
