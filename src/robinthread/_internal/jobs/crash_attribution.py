"""What follows for a task, and for others, from the crashes that count for it."""

from collections.abc import Sequence

from robinthread._internal.jobs.crash_tracker import CrashEventKind
from robinthread._internal.jobs.crashes import (
    Crash,
    attribute_to_culprit,
    is_culprit,
    list_caused_crashes,
)
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.task import Task


def set_crashes(pool: PoolJobs, task: Task, crashes: Sequence[Crash]) -> None:
    """Have crashes of hosts count for a task, or for the gang that it is first of."""
    pool.record_crashes(pool.jobs[task.key.job_id], task, crashes)
    if task.runs and pool.crash_tracker.is_suspect(task):
        # It gets no copy while it is suspect.
        pool.waiting.pop(task.key, None)


def add_crash(pool: PoolJobs, task: Task, crash: Crash, now_ms: int) -> None:
    """Have a crash count for a task; give it up where it is to blame for sure."""
    job = pool.jobs.get(task.key.job_id)
    if job is None or job.status.is_final or task.is_done:
        return
    others = [
        each for each in task.crashes if (each.run, each.host_id) != (crash.run, crash.host_id)
    ]
    set_crashes(pool, task, [*others, crash])
    if pool.crash_tracker.is_suspect(task):
        pool.crash_tracker.add_event(CrashEventKind.SUSPECTED, task, (crash.host_id,))
    if is_culprit(task.crashes, task.step.is_lasting):
        _give_up(pool, task, now_ms)


def _give_up(pool: PoolJobs, task: Task, now_ms: int) -> None:
    """Fail the job of a task that crashes its hosts; what it crashed blames no other."""
    caused = list_caused_crashes(task.crashes)
    host_ids = {crash.host_id for crash in caused}
    pool.crash_tracker.add_event(CrashEventKind.GIVEN_UP, task, host_ids)
    pool.fail(pool.jobs[task.key.job_id], now_ms)
    for other in pool.crash_tracker.record_cause_found(host_ids):
        set_crashes(pool, other, attribute_to_culprit(other.crashes, caused))
