"""Handling of lost hosts: ends their runs and finds the tasks that may be the cause."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace

from robinthread._internal.jobs.crash_attribution import add_crash, set_crashes
from robinthread._internal.jobs.crash_tracker import RACK_LOST_WITHIN_S, LostHost
from robinthread._internal.jobs.crashes import (
    EXONERATED_AFTER_S,
    STARTUP_WINDOW_S,
    UNKNOWN_AGE_MS,
    Crash,
)
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.task import Task


@dataclass(frozen=True, slots=True)
class _LostRun:
    """A run that ended with its host, and its least age; None if it may not have begun."""

    run: Run
    crash_task: Task
    age_s: float | None


def record_host_crash(
    pool: PoolJobs,
    host: Host,
    now_s: float,
    now_ms: int,
    moved_runs: Sequence[Run] = (),
    successor: Host | None = None,
) -> None:
    """End all runs of a host that has crashed, and fail the jobs of culprits.

    The ``moved_runs`` may continue on its ``successor``.
    """
    if not pool.policy.isolates_crashing_tasks:
        pool.remove_host(host.id, now_ms, moved_runs, successor)
        return
    at_s = host.get_lost_at_s()
    lost = list(host.runs.values())
    found = [*pool.crash_tracker.pop_lapsed(host.id), *_find_crashes(pool, host, at_s, lost)]
    record, had_runs = host.record, bool(found or host.runs)
    pool.crash_tracker.record_loss(LostHost(host.id, record.machine, record.rack, at_s, had_runs))
    _end_trials(pool, found, now_s)
    pool.remove_host(host.id, now_ms, moved_runs, successor)
    for task, crash in found:
        add_crash(pool, task, crash, now_ms)


def record_host_lapse(
    pool: PoolJobs, host: Host, lapsed: Sequence[Run], now_s: float, now_ms: int
) -> None:
    """End the runs of a silent host whose leases have lapsed.

    Whether it crashed is unknown.  A broken connection makes a crash likely, so its tasks become
    suspect at once; their crashes are confirmed only when the crash is certain.
    """
    if not pool.policy.isolates_crashing_tasks:
        pool.end_lapsed_runs(lapsed, now_ms)
        return
    found = _find_crashes(pool, host, host.get_lost_at_s(), lapsed)
    pool.crash_tracker.record_host_lapse(host.id, found)
    _end_trials(pool, found, now_s)
    pool.end_lapsed_runs(lapsed, now_ms)
    if host.connection_broken_at_s is not None:
        for task, crash in found:
            add_crash(pool, task, replace(crash, is_confirmed=False), now_ms)


def withdraw_lapsed(pool: PoolJobs, host: Host) -> None:
    """Remove the crashes counted for a lapsed host that responds again: it did not crash."""
    for task, crash in pool.crash_tracker.pop_lapsed(host.id):
        if task.key.job_id in pool.jobs and crash.host_id in {
            each.host_id for each in task.crashes
        }:
            left = [each for each in task.crashes if each.host_id != host.id]
            set_crashes(pool, task, left)


def _end_trials(pool: PoolJobs, found: Iterable[tuple[Task, Crash]], now_s: float) -> None:
    trials = pool.crash_tracker.trials
    for task, crash in found:
        if trials.is_trial_run(task.key, crash.run):
            trials.record_loss(now_s)
            trials.drop(task.key)


def _find_crashes(
    pool: PoolJobs, host: Host, at_s: float, ended: Sequence[Run]
) -> Sequence[tuple[Task, Crash]]:
    """Return the tasks of the ``ended`` runs that may have crashed a host, each with its crash."""
    lost_runs = list(_iter_lost_runs(pool, host, at_s))
    is_rack_lost = _is_rack_lost(pool, host, at_s)
    return [
        (lost.crash_task, _make_crash(pool, host, lost, lost_runs, is_rack_lost))
        for lost in lost_runs
        if lost.run in ended and (lost.age_s is None or lost.age_s < EXONERATED_AFTER_S)
    ]


def _make_crash(
    pool: PoolJobs, host: Host, lost: _LostRun, lost_runs: Iterable[_LostRun], is_rack_lost: bool
) -> Crash:
    others = [other for other in lost_runs if other.crash_task is not lost.crash_task]
    is_near_start = (
        host.connection_broken_at_s is not None and (lost.age_s or 0.0) < STARTUP_WINDOW_S
    )
    trial = pool.crash_tracker.trials.get(lost.crash_task.key)
    is_confirmed = False
    if trial is not None and trial.run == lost.run.number:
        is_confirmed = (is_near_start and _are_all_older(others, STARTUP_WINDOW_S)) or (
            trial.is_alone and _are_all_older(others, EXONERATED_AFTER_S)
        )
    if lost.run.is_inherited and lost.run.is_alone:
        is_confirmed = _are_all_older(others, EXONERATED_AFTER_S)
    # Others that lapsed before may be the cause as well.
    is_confirmed = is_confirmed and not pool.crash_tracker.has_lapsed(host.id)
    # The loss of a rack makes no run suspect, except on trial: a trial that it hits by chance is
    # left with one confirmed crash.
    is_near_start = is_near_start and (is_confirmed or not is_rack_lost)
    # An inherited run may have been present for longer than this owner has observed it.
    is_age_known = lost.age_s is not None and not lost.run.is_inherited
    age_ms = round((lost.age_s or 0.0) * 1000) if is_age_known else UNKNOWN_AGE_MS
    return Crash(host.id, host.record.machine, lost.run.number, age_ms, is_near_start, is_confirmed)


def _iter_lost_runs(pool: PoolJobs, host: Host, at_s: float) -> Iterator[_LostRun]:
    for run in host.runs.values():
        is_unsent = run.sent_at_s is None and not run.is_inherited
        if run.phase is not RunPhase.RECORDING and not is_unsent:
            yield _LostRun(run, pool.get_crash_task(run), run.get_age_s(at_s))


def _are_all_older(others: Iterable[_LostRun], age_s: float) -> bool:
    return all(other.age_s is not None and other.age_s >= age_s for other in others)


def _is_rack_lost(pool: PoolJobs, host: Host, at_s: float) -> bool:
    """Return whether the host was lost with its whole rack, judged by the pool's other hosts.

    The loss of a rack ends all its hosts, so no run on them is the cause.
    """
    rack = host.record.rack
    others = [
        other for other in pool.hosts.values() if other is not host and other.record.rack == rack
    ]
    if any(other.contact is HostContact.ANSWERING for other in others):
        return False
    return pool.crash_tracker.was_rack_lost(rack, at_s) or any(
        other.contact is HostContact.SILENT
        and abs(other.get_lost_at_s() - at_s) <= RACK_LOST_WITHIN_S
        for other in others
    )
