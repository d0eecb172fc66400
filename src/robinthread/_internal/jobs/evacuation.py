"""Which runs to move off hosts that are to be emptied."""

from typing import Final

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.placement import choose_host, get_usable_hosts
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.task import Task

AT_WORK_PERCENT: Final = 100
# A task that keeps checkpoints is stopped so long before its host may leave: time for
# the order, the stop itself and the look that brings its checkpoint.
CHECKPOINT_STOP_LEAD_S: Final = 0.8


def evacuate(pool: PoolJobs, now_s: float) -> list[Run]:
    """Stop the runs that are to leave their hosts now; return them.

    A lasting task leaves when its step can spare it.  A task that ends by itself
    is left to do so, unless its host is about to leave and its work can be kept.
    Either goes only where another host has room for it.  What has to leave a draining host
    comes first: tasks on sound hosts then see that it is away.
    """
    stopped = []
    usable = get_usable_hosts(pool, now_s)
    for host in sorted(pool.hosts.values(), key=lambda host: not host.record.is_draining):
        if not _is_leaving(host, now_s):
            continue
        for run in list(host.runs.values()):
            job = pool.jobs[run.task.job_id]
            task = job.get_task(run.task)
            if (
                run.phase is RunPhase.PRESENT
                and not task.step.is_gang
                and _should_leave(pool, host, job, task, run, now_s)
                and choose_host(pool, task, usable, now_s) is not None
            ):
                pool.stop(run)
                stopped.append(run)
    return stopped


def can_spare(pool: PoolJobs, job: Job, task: Task, now_s: float) -> bool:
    """Tell whether a lasting task's step can spare it now."""
    step = task.step
    if not step.has_not_running_limit:
        return True
    members = job.get_tasks(task.key.occurrence, task.key.step)
    not_working = sum(not is_working(pool, other, now_s) for other in members if other is not task)
    return not_working < step.not_running_max


def is_working(pool: PoolJobs, task: Task, now_s: float) -> bool:
    """Tell whether a lasting task does its work, on a host that says so itself.

    What runs on a silent host may have ended, and what an earlier owner told to stop,
    just before the host heard of this one, may be about to.
    """
    return any(
        run.phase is RunPhase.PRESENT
        and run.progress_percent >= AT_WORK_PERCENT
        and pool.hosts[run.host_id].contact is HostContact.ANSWERING
        and now_s >= pool.hosts[run.host_id].foreign_stops_over_at_s
        for run in task.runs
    )


def _should_leave(pool: PoolJobs, host: Host, job: Job, task: Task, run: Run, now_s: float) -> bool:
    if task.step.is_lasting:
        if host.record.is_draining:
            return not _is_other_stopping(pool, job, task) or _leaves_soon(host, now_s)
        return can_spare(pool, job, task, now_s) and pool.may_restart(task)
    if not task.step.keeps_checkpoints or host.leaves_at_s is None:
        return False
    left_s = host.leaves_at_s - now_s
    duration_s = pool.run_times.estimate_s(job.spec.queue, task.step)
    return left_s < CHECKPOINT_STOP_LEAD_S and left_s < duration_s * (
        1 - run.progress_percent / 100
    )


def _is_other_stopping(pool: PoolJobs, job: Job, task: Task) -> bool:
    """Tell whether another task of a lasting step is being stopped on a sound host.

    Of two that are stopped at once either may end first, and the one on the sound host must
    not end while the other one is away.
    """
    if not task.step.has_not_running_limit:
        return False
    members = job.get_tasks(task.key.occurrence, task.key.step)
    return any(
        run.phase is RunPhase.STOPPING and not pool.hosts[run.host_id].record.is_draining
        for other in members
        if other is not task
        for run in other.runs
    )


def _leaves_soon(host: Host, now_s: float) -> bool:
    return host.leaves_at_s is not None and host.leaves_at_s - now_s < CHECKPOINT_STOP_LEAD_S


def _is_leaving(host: Host, now_s: float) -> bool:
    return host.record.is_draining or host.is_vacating(now_s)
