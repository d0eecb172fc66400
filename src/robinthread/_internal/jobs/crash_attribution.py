"""Attribution of host crashes to tasks: marks suspects and fails the jobs of culprits."""

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
    """Set the host crashes that count against a task, or against the gang it is first in."""
    pool.record_crashes(pool.jobs[task.key.job_id], task, crashes)
    if task.runs and pool.crash_tracker.is_suspect(task):
        # A task that is suspect gets no copy.
        pool.waiting.pop(task.key, None)


def add_crash(pool: PoolJobs, task: Task, crash: Crash, now_ms: int) -> None:
    """Count a crash against a task; fail the task's job if that makes it a culprit."""
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
        _fail_culprit(pool, task, now_ms)


def _fail_culprit(pool: PoolJobs, task: Task, now_ms: int) -> None:
    """Fail the job of a task that crashes its hosts.

    The crashes that it caused are attributed to it in the records of other tasks.
    """
    caused = list_caused_crashes(task.crashes)
    host_ids = {crash.host_id for crash in caused}
    pool.crash_tracker.add_event(CrashEventKind.GIVEN_UP, task, host_ids)
    pool.fail(pool.jobs[task.key.job_id], now_ms)
    for other in pool.crash_tracker.record_cause_found(host_ids):
        set_crashes(pool, other, attribute_to_culprit(other.crashes, caused))
