"""The lasting steps whose tasks must leave evacuated data halls."""

from collections import Counter

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.waiting_steps import WaitingStep
from robinthread._internal.jobs.workspace_capacity import may_restart
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.step_key import StepKey


def list_leaving_steps(pool: PoolJobs) -> list[WaitingStep]:
    """Return the lasting steps with runs in evacuated halls, and how many tasks need other hosts.

    These tasks run until another host has room, so they are not among the waiting ones.  A gang
    leaves as a whole.  Steps whose tasks may not be stopped are left out, since they will not
    use another host.
    """
    counts = Counter(
        run.task.step_key
        for host in pool.hosts.values()
        if pool.evacuated.covers(host)
        for run in host.runs.values()
        if run.is_lasting
    )
    return [
        _make_leaving_step(pool.jobs[key.job_id], key, count)
        for key, count in counts.items()
        if _may_leave(pool, pool.jobs[key.job_id], key)
    ]


def _make_leaving_step(job: Job, key: StepKey, run_count: int) -> WaitingStep:
    step = job.spec.steps[key.step]
    task_count = step.task_count if step.is_gang else run_count
    return WaitingStep(job, key.occurrence, key.step, task_count, 0)


def _may_leave(pool: PoolJobs, job: Job, key: StepKey) -> bool:
    step: StepSpec = job.spec.steps[key.step]
    stopped_count = step.task_count if step.is_gang else 1
    is_allowed = step.may_stop_together(stopped_count)
    first = job.get_tasks(key.occurrence, key.step)[0]
    return is_allowed and not job.status.is_final and may_restart(pool, first)
