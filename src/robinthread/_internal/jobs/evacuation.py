"""Moving runs off hosts that drain, that the steward is vacating, or whose hall is evacuated."""

from typing import Final

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_release import make_slack_reader, should_stop_for_release
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.placement import choose_host, get_usable_hosts
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.room_claims import RoomClaims
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.task import Task
from robinthread._internal.jobs.workspace_capacity import may_restart

# A lasting task works once it reports this progress.
AT_WORK_PERCENT: Final = 100
# A task that keeps checkpoints is stopped this long before its host may leave.  The time covers
# the stop order, the stop itself and the poll that fetches the checkpoint.
CHECKPOINT_STOP_LEAD_S: Final = 0.8


def evacuate(pool: PoolJobs, now_s: float, now_ms: int = 0) -> list[Run]:
    """Stop the runs that should leave their hosts now; return them.

    A lasting task is stopped when its step can spare it.  A task that ends by itself is left to
    finish, unless its host is about to leave and the task keeps checkpoints.  Either is stopped
    only if another host has the capacity for it.  Tasks that keep checkpoints are also stopped
    without that on hosts that another pool needs.  Draining hosts are processed first, so that
    tasks on other hosts already count those tasks as not running.

    A hall has many lasting tasks, so while one is evacuated each task that leaves a host needs
    capacity that no other moving task will take.  Tasks of the hall come before those of hosts that
    are vacated elsewhere, which would otherwise use the hosts that were fetched for the hall.  A
    lasting gang leaves the hall as a whole.  A task that keeps checkpoints is not stopped because
    its hall is evacuated: to continue elsewhere costs it the stop, the work since its last
    checkpoint and the restore, and gains nothing on hosts of equal speed.  ``move_stragglers``
    moves the tasks of slow hosts in any hall.
    """
    stopped = []
    get_slack = make_slack_reader(pool, now_s, now_ms)
    usable = get_usable_hosts(pool, now_s)
    claims = RoomClaims(pool, usable, now_s) if pool.evacuated.halls else None
    for host in sorted(pool.hosts.values(), key=lambda host: _get_leaving_order(pool, host)):
        if not _is_leaving(pool, host, now_s):
            continue
        needs_claim = not host.record.is_draining
        for run in list(host.runs.values()):
            if run.phase is not RunPhase.PRESENT:
                continue
            if should_stop_for_release(pool, host, run, now_s, get_slack):
                pool.stop(run)
                stopped.append(run)
                continue
            own_claims = claims if needs_claim else None
            stopped += _stop_if_leaving(pool, host, run, usable, own_claims, now_s)
    return stopped


def _stop_if_leaving(
    pool: PoolJobs,
    host: Host,
    run: Run,
    usable: list[Host],
    claims: RoomClaims | None,
    now_s: float,
) -> list[Run]:
    """Stop a run, or its gang, if it should leave its host now; return the stopped runs.

    ``claims`` are the claims of capacity elsewhere; they are None while no hall is evacuated, and
    for draining hosts.
    """
    job = pool.jobs[run.task.job_id]
    task = job.get_task(run.task)
    if task.step.is_gang:
        members = job.get_members(task)
        if claims is None or not pool.evacuated.covers(host) or not _may_gang_leave(pool, members):
            return []
        return _stop_gang(pool, members) if claims.claim_for_gang(members) else []
    if not _should_leave(pool, host, job, task, run, now_s):
        return []
    if claims is None:
        has_room = choose_host(pool, task, usable, now_s) is not None
    else:
        has_room = claims.claim(task)
    if not has_room:
        return []
    pool.stop(run)
    return [run]


def _may_gang_leave(pool: PoolJobs, members: list[Task]) -> bool:
    """Tell whether all tasks of a gang may be stopped: they last and their limit allows it."""
    step = members[0].step
    return (
        step.is_lasting
        and step.may_stop_together(len(members))
        and may_restart(pool, members[0])
        and all(run.phase is RunPhase.PRESENT for member in members for run in member.runs)
    )


def _stop_gang(pool: PoolJobs, members: list[Task]) -> list[Run]:
    """Stop all runs of a gang; return them."""
    runs = [run for member in members for run in member.runs]
    for run in runs:
        pool.stop(run)
    return runs


def can_spare(pool: PoolJobs, job: Job, task: Task, now_s: float) -> bool:
    """Tell whether a lasting task may stop without exceeding its step's limit of stopped tasks."""
    step = task.step
    if not step.has_not_running_limit:
        return True
    members = job.get_tasks(task.key.occurrence, task.key.step)
    not_working = sum(not is_working(pool, other, now_s) for other in members if other is not task)
    return not_working < step.not_running_max


def is_working(pool: PoolJobs, task: Task, now_s: float) -> bool:
    """Tell whether a lasting task is known to work, by a report of a host that responds.

    A run on a silent host may have ended.  A run on a host that an earlier owner may have sent
    stop orders, just before the host learned of this owner, may be about to end.
    """
    return any(
        run.phase is RunPhase.PRESENT
        and run.progress_percent >= AT_WORK_PERCENT
        and pool.hosts[run.host_id].contact is HostContact.ANSWERING
        and now_s >= pool.hosts[run.host_id].foreign_stops_over_at_s
        for run in task.runs
    )


def _should_leave(pool: PoolJobs, host: Host, job: Job, task: Task, run: Run, now_s: float) -> bool:
    """Tell whether a run on a host that it must leave should be stopped now."""
    if task.step.is_lasting:
        if host.record.is_draining:
            return not _is_other_stopping(pool, job, task) or _leaves_soon(host, now_s)
        return can_spare(pool, job, task, now_s) and may_restart(pool, task)
    if not task.step.keeps_checkpoints or host.leaves_at_s is None:
        return False
    left_s = host.leaves_at_s - now_s
    duration_s = pool.run_times.estimate_s(job.spec.queue, task.step)
    return left_s < CHECKPOINT_STOP_LEAD_S and left_s < duration_s * (
        1 - run.progress_percent / 100
    )


def _is_other_stopping(pool: PoolJobs, job: Job, task: Task) -> bool:
    """Tell whether another task of a lasting step is being stopped on a host that does not drain.

    Of two tasks that are stopped at the same time either may end first, and the one on the host
    that does not drain must not end while the other one is not running.
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


def _get_leaving_order(pool: PoolJobs, host: Host) -> tuple[bool, bool]:
    """Return a sort key for hosts that runs leave: draining ones, then those of evacuated halls."""
    return (not host.record.is_draining, not pool.evacuated.covers(host))


def _is_leaving(pool: PoolJobs, host: Host, now_s: float) -> bool:
    """Tell whether lasting tasks should leave a host."""
    return host.record.is_draining or host.is_vacating(now_s) or pool.evacuated.covers(host)
