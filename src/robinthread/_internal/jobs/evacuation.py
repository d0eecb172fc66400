"""Which runs to move off hosts that are to be emptied."""

from collections.abc import Iterator

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.placement import choose_host
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.task import Task

AT_WORK_PERCENT = 100


def evacuate(pool: PoolJobs, now_s: float) -> list[Run]:
    """Stop the lasting runs that may leave their hosts now; return them.

    Tasks that end by themselves are left to do so.  A lasting task leaves when
    its step can spare it and another host has room for it.
    """
    stopped = []
    for host in pool.hosts.values():
        if not _is_leaving(host, now_s):
            continue
        for run in list(host.runs.values()):
            job = pool.jobs[run.task.job_id]
            task = job.get_task(run.task)
            if (
                task.step.is_lasting
                and run.phase is RunPhase.PRESENT
                and (host.record.is_draining or may_leave(job, task))
                and choose_host(pool, task, now_s) is not None
            ):
                pool.stop(run)
                stopped.append(run)
    return stopped


def may_leave(job: Job, task: Task) -> bool:
    """Tell whether a lasting task's step can spare it now."""
    step = task.step
    if not step.has_away_limit:
        return True
    others = (other for other in _iter_step(job, task) if other is not task)
    away = sum(not is_at_work(other) for other in others)
    return away < step.away_max


def is_at_work(task: Task) -> bool:
    """Tell whether a lasting task does its work."""
    return any(
        run.phase is RunPhase.PRESENT and run.progress_percent >= AT_WORK_PERCENT
        for run in task.runs
    )


def _iter_step(job: Job, task: Task) -> Iterator[Task]:
    return iter(job.get_tasks(task.key.occurrence, task.key.step))


def _is_leaving(host: Host, now_s: float) -> bool:
    return host.record.is_draining or now_s < host.vacating_until_s
