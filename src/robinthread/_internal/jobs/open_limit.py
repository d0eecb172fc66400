"""Limit on the tasks that overdue and large jobs keep waiting, and in memory."""

from collections import Counter
from collections.abc import Collection, Iterable
from typing import Final

from robinthread._internal.jobs.job import Job
from robinthread._internal.models.task_key import TaskKey

# Waiting tasks of a timed job above which no further occurrence of it is opened.  Tasks at work do
# not count: occurrences may overlap, and the hosts bound how many run.
JOB_WAITING_MAX: Final = 1_000
# The same for all timed jobs of a pool, which a placement pass visits.
POOL_WAITING_MAX: Final = 4_000
# An occurrence with more tasks is large: it is opened only in its turn.
LARGE_TASKS: Final = 1_000
# Open tasks of a pool's large occurrences above which no other large one is opened.
POOL_LARGE_MAX: Final = 30_000
# Open tasks of a pool above which no job opens an occurrence beside another.  With about 1.5 KB
# each, they take 75 MB of its owner's memory.
POOL_OPEN_MAX: Final = 50_000


class OpenLimit:
    """Limit on the occurrences that the jobs of a pool have open at a time.

    A schedule may be long overdue, with any number of occurrences due at once.  The earliest ones
    are opened, and the others as these are done.  Jobs take turns for half of the pool's waiting
    tasks, and share the rest in equal parts, so that one that is overdue leaves room for others.
    Large occurrences, of any job, are opened one after another as their tasks are done.
    """

    def __init__(
        self, timed_count: int, open_count: int, large_count: int, waiting_counts: Counter[str]
    ) -> None:
        self._share = POOL_WAITING_MAX // 2 // max(1, timed_count)
        self._open_count = open_count
        self._large_count = large_count
        self._waiting_counts = waiting_counts
        self._waiting_count = waiting_counts.total()

    def allows(self, job: Job) -> bool:
        """Return whether a job may open its next occurrence.

        One that is not large may be opened in any case if the job has no other one open.
        """
        count, waiting_count = job.occurrence_task_count, self._waiting_counts[job.id]
        if is_large(job) and self._large_count and self._large_count + count > POOL_LARGE_MAX:
            return False
        if not job.open_occurrence_count:
            return True
        if self._open_count + count > POOL_OPEN_MAX or waiting_count + count > JOB_WAITING_MAX:
            return False
        is_within_share = waiting_count + count <= self._share
        return is_within_share or self._waiting_count + count <= POOL_WAITING_MAX // 2

    def record_opened(self, job: Job) -> None:
        """Count the tasks of an occurrence that is opened."""
        self._open_count += job.occurrence_task_count
        self._large_count += job.occurrence_task_count if is_large(job) else 0
        self._waiting_count += job.occurrence_task_count
        self._waiting_counts[job.id] += job.occurrence_task_count


def is_large(job: Job) -> bool:
    """Return whether the occurrences of a job are large."""
    return job.occurrence_task_count > LARGE_TASKS


def make_open_limit(jobs: Collection[Job], waiting: Iterable[TaskKey]) -> OpenLimit:
    """Return the limit of a pool with these jobs and waiting tasks."""
    timed = {job.id: job for job in jobs if job.spec.is_timed and not job.status.is_final}
    large_count = sum(
        job.count_open_tasks() for job in jobs if is_large(job) and not job.status.is_final
    )
    waiting_counts = Counter(key.job_id for key in waiting if key.job_id in timed)
    open_count = sum(job.open_task_count for job in timed.values())
    return OpenLimit(len(timed), open_count, large_count, waiting_counts)
