"""Isolated starts of suspect tasks, so that the next crash identifies the culprit.

This handles a pool in which some tasks crash each host that starts them, among many sound tasks
that were lost with the same hosts.  Each suspect gets hosts with as few other runs as possible,
on which nothing else is started until the suspect has run past its start.  Sound suspects are
cleared within ``STARTUP_WINDOW_S``, and one that crashes its host has a confirmed crash.  The
number of hosts lost does not depend on how fast that goes, but sound suspects are delayed, so
half of the pool's hosts may be at risk at a time.  Suspects with a confirmed crash are hardly
ever sound: for them it is a quarter, or all idle hosts but one while no other task waits.
"""

import math
from collections.abc import Iterator
from functools import partial
from typing import Final

from robinthread._internal.jobs.crash_attribution import set_crashes
from robinthread._internal.jobs.crash_tracker import CrashEventKind
from robinthread._internal.jobs.crashes import (
    EXONERATED_AFTER_S,
    STARTUP_WINDOW_S,
    attribute_all_elsewhere,
    must_run_alone,
)
from robinthread._internal.jobs.gangs import choose_gang_hosts, get_waiting_gang, place_gang
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.placement import (
    allows_another_run,
    get_future_capacity,
    get_usable_hosts,
    iter_fitting,
    may_run,
    sort_tasks,
)
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.task import Task
from robinthread._internal.jobs.trials import Trial
from robinthread._internal.jobs.workspace_capacity import fits_workspace_limit
from robinthread._internal.models.step_key import StepKey

# Shares of the pool's usable hosts that may be at risk at a time: from suspects without a
# confirmed crash and from those with one.  One suspect at a time may always be tried.
AT_RISK_SHARE: Final = 0.5
AT_RISK_SHARE_CONFIRMED: Final = 0.25
# At most this many hosts are requested for trials, so that crashes of many tasks take no more
# from other pools.
TRIAL_HOSTS_MAX: Final = 16


def place_suspects(pool: PoolJobs, now_s: float, now_ms: int) -> int:
    """Start the waiting suspects that may be started now; return how many tasks were placed.

    Suspects without a confirmed crash come first, since most of them are sound.
    """
    trials = pool.crash_tracker.trials
    trials.drop_unstarted()
    waiting = [
        task
        for task in pool.crash_tracker.suspects.values()
        if task.key in pool.waiting and _may_start(pool, task)
    ]
    if not waiting:
        return 0
    usable = get_usable_hosts(pool, now_s)
    placed = 0
    without_host: set[tuple[StepKey, bool]] = set()
    for task in sorted(sort_tasks(pool, waiting, now_ms), key=_count_confirmed):
        kind = task.key.step_key, must_run_alone(task.crashes)
        spare = _count_spare_hosts(pool, task, usable, now_s)
        if spare < 1 or kind in without_host or not fits_workspace_limit(pool, task):
            continue
        trial = _choose_trial(pool, task, usable, now_s)
        if trial is None:
            without_host.add(kind)
            continue
        if len(trial.host_ids) > spare and trials.count_at_risk(now_s):
            continue
        trials.add(trial)
        usable = [host for host in usable if host.id not in trial.host_ids]
        placed += _start_trial(pool, task, trial, now_s)
    return placed


def count_hosts_for_trials(pool: PoolJobs) -> int:
    """Return how many hosts the pool needs to try its lasting suspects at the same time.

    Only those that must run alone count, which takes ``EXONERATED_AFTER_S`` each.  In a pool that
    is sized by their resources alone, they would be tried one after the other.
    """
    count = sum(
        task.step.is_lasting and must_run_alone(task.crashes) and not _count_confirmed(task)
        for task in pool.crash_tracker.suspects.values()
    )
    return min(TRIAL_HOSTS_MAX, math.ceil(count / AT_RISK_SHARE))


def clear_surviving_suspects(pool: PoolJobs, now_s: float) -> None:
    """Clear the suspects that have run past their start in isolation."""
    for trial in pool.crash_tracker.trials.list_all():
        task = pool.crash_tracker.suspects.get(trial.task)
        if task is not None and trial.run and _has_survived(pool, task, trial, now_s):
            pool.crash_tracker.trials.drop(trial.task)
            set_crashes(pool, task, () if trial.is_alone else attribute_all_elsewhere(task.crashes))
            pool.crash_tracker.add_event(CrashEventKind.CLEARED, task, trial.host_ids)


def is_ready(host: Host, is_alone: bool, now_s: float) -> bool:
    """Return whether a crash of the host could not be caused by any run that is there now.

    Lasting tasks that have been present for ``EXONERATED_AFTER_S`` may stay.
    """
    ages_s = ((run, run.get_age_s(now_s)) for run in host.runs.values())
    if is_alone:
        return all(run.is_lasting and (age_s or 0.0) >= EXONERATED_AFTER_S for run, age_s in ages_s)
    return all((age_s or 0.0) >= STARTUP_WINDOW_S for _run, age_s in ages_s)


def _may_start(pool: PoolJobs, task: Task) -> bool:
    """Return whether a suspect may be started now.

    In a job with confirmed crash tasks, only the first of these is started.  A suspect with few
    starts left waits until it is known whether its last host crashed.
    """
    confirmed_crash_tasks = pool.jobs[task.key.job_id].confirmed_crash_tasks
    if confirmed_crash_tasks and task.key != min(confirmed_crash_tasks):
        return False
    return not must_run_alone(task.crashes) or not pool.crash_tracker.is_host_outcome_open(task)


def _count_confirmed(task: Task) -> int:
    return sum(crash.is_confirmed for crash in task.crashes)


def _count_spare_hosts(pool: PoolJobs, task: Task, usable: list[Host], now_s: float) -> int:
    """Count the hosts that the pool can afford to lose to a suspect."""
    trials = pool.crash_tracker.trials
    host_count = len(usable) + len(trials.reserved)
    at_risk = trials.count_at_risk(now_s)
    if not _count_confirmed(task):
        return max(int(AT_RISK_SHARE * host_count) - at_risk, not trials.reserved)
    spare = max(1, int(AT_RISK_SHARE_CONFIRMED * host_count)) - at_risk
    if spare < 1 and all(pool.is_withheld(other) for other in pool.waiting.values()):
        spare = sum(not host.runs for host in usable) - 1
    return spare


def _choose_trial(pool: PoolJobs, task: Task, usable: list[Host], now_s: float) -> Trial | None:
    """Return a trial with hosts for a suspect, or None if none fit."""
    is_alone = must_run_alone(task.crashes)
    if not task.step.is_gang:
        host = _choose_host(pool, task, usable, is_alone, now_s)
        return None if host is None else Trial(task.key, frozenset((host.id,)), is_alone)
    members = get_waiting_gang(pool, task)
    job = pool.jobs[task.key.job_id]
    chosen = members and choose_gang_hosts(
        pool, job, members, usable, now_s, partial(get_future_capacity, pool)
    )
    return Trial(task.key, frozenset(host.id for host in chosen), is_alone) if chosen else None


def _choose_host(
    pool: PoolJobs, task: Task, usable: list[Host], is_alone: bool, now_s: float
) -> Host | None:
    """Return the best host for a suspect or None: machine without crashes, then fewest runs."""
    job, counts = pool.jobs[task.key.job_id], pool.crash_tracker.count_by_machine()
    own = {crash.machine for crash in task.crashes}
    fitting = (
        host
        for host in usable
        if task.resources.fits_in(get_future_capacity(pool, host))
        and may_run(pool, job, task, host, now_s)
        and allows_another_run(task, host)
    )
    return min(
        fitting,
        key=lambda host: (
            host.record.machine in own,
            counts[host.record.machine],
            not (is_ready(host, is_alone, now_s) and task.resources.fits_in(host.free)),
            host.cold.is_cold(now_s),
            host.lasting_count,
            len(host.runs),
            host.id,
        ),
        default=None,
    )


def _start_trial(pool: PoolJobs, task: Task, trial: Trial, now_s: float) -> int:
    """Start a suspect if its hosts are ready; return how many tasks were placed."""
    hosts = [pool.hosts[host_id] for host_id in sorted(trial.host_ids)]
    if not all(is_ready(host, trial.is_alone, now_s) for host in hosts):
        return 0
    if task.step.is_gang:
        placed = place_gang(pool, task, hosts, now_s)
    else:
        fitting = list(iter_fitting(pool, task, hosts, now_s))
        for host in fitting:
            pool.place(task, host, now_s=now_s)
        placed = len(fitting)
    if placed:
        trial.run = task.last_run
        for run in _iter_runs(pool, task, trial):
            run.is_alone = trial.is_alone
        pool.crash_tracker.add_event(CrashEventKind.TRIAL_STARTED, task, trial.host_ids)
    return placed


def _has_survived(pool: PoolJobs, task: Task, trial: Trial, now_s: float) -> bool:
    """Return whether all runs of a trial have been present long enough on responding hosts."""
    needed_s = EXONERATED_AFTER_S if trial.is_alone else STARTUP_WINDOW_S
    hosts = [pool.hosts[host_id] for host_id in trial.host_ids if host_id in pool.hosts]
    runs = list(_iter_runs(pool, task, trial))
    return (
        bool(runs)
        and len(hosts) == len(trial.host_ids)
        and all(
            host.contact is HostContact.ANSWERING and host.connection_broken_at_s is None
            for host in hosts
        )
        and all(
            run.phase is RunPhase.PRESENT and (run.get_age_s(now_s) or 0.0) >= needed_s
            for run in runs
        )
    )


def _iter_runs(pool: PoolJobs, task: Task, trial: Trial) -> Iterator[Run]:
    """Iterate over the runs of a trial on its hosts."""
    return (
        run
        for host_id in trial.host_ids
        if host_id in pool.hosts
        for run in pool.hosts[host_id].runs.values()
        if run.number == trial.run and pool.get_crash_task(run).key == task.key
    )
