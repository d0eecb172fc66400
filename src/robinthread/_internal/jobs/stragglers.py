"""Detection of stragglers on slow or silent hosts; they are copied or moved.

Run times of the tasks of a step differ by some share, and a few tasks take several times as long
as the others on any host.  So a host counts as slow only if most of its tasks lag behind the
other tasks of their steps.  Runs on a cold host are expected to lag, and are not compared.
"""

import statistics
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from robinthread._internal.jobs.cold_hosts import is_slowed
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.stalls import HANG_PAUSE_S
from robinthread._internal.jobs.task import Task
from robinthread._internal.jobs.workspace_capacity import may_restart
from robinthread._internal.models.step_key import StepKey

# A run lags if its progress rate is below this share of the median for its step.  Tasks of a step
# differ by a third, whereas a slow host is slower by a factor of four or more.
LAG_SHARE: Final = 0.4
# Least time that a run must have been present before its progress is compared, and least number
# of other tasks to compare it with.
COMPARED_AFTER_S: Final = 0.5
PEERS_MIN: Final = 2
# Least number of compared runs on a host before the host can count as slow.
COMPARED_RUNS_MIN: Final = 2
# A run is stopped only if its remaining work would take more than this many times as long as the
# whole task usually takes elsewhere.
MOVE_WORTH_FACTOR: Final = 1.5


@dataclass(frozen=True)
class Straggler:
    """A run that lags; ``usual_s`` is the median run time for its step."""

    run: Run
    usual_s: float


@dataclass(frozen=True)
class _RunComparison:
    """A run's progress rate as a share of the median for its step."""

    run: Run
    share: float
    usual_s: float


def move_stragglers(pool: PoolJobs, now_s: float) -> list[Straggler]:
    """Request copies of tasks that lag or are on silent hosts, or move them; return those moved."""
    for task in _iter_copyable_on_silent_hosts(pool):
        pool.request_copy(task)
    moved = []
    for straggler in find_stragglers(pool):
        run = straggler.run
        task = pool.jobs[run.task.job_id].get_task(run.task)
        if task.step.allows_copies:
            pool.request_copy(task)
        elif _is_worth_moving(pool, straggler) and may_restart(pool, task):
            task.failed_host_ids.add(run.host_id)
            pool.hosts[run.host_id].health.pause(HANG_PAUSE_S, now_s)
            pool.stop(run)
            moved.append(straggler)
    return moved


def find_stragglers(pool: PoolJobs) -> list[Straggler]:
    """Return the runs on slow hosts that lag behind other tasks of their steps."""
    by_host: dict[str, list[_RunComparison]] = defaultdict(list)
    for comparison in _compare_runs(pool):
        by_host[comparison.run.host_id].append(comparison)
    return [
        Straggler(comparison.run, comparison.usual_s)
        for comparisons in by_host.values()
        if len(comparisons) >= COMPARED_RUNS_MIN
        and statistics.median(one.share for one in comparisons) < LAG_SHARE
        for comparison in comparisons
        if comparison.share < LAG_SHARE
    ]


def _compare_runs(pool: PoolJobs) -> Iterator[_RunComparison]:
    """Compare each run's progress rate with the median for its step."""
    by_step: dict[StepKey, list[Run]] = defaultdict(list)
    for host in pool.hosts.values():
        for run in _iter_comparable(pool, host):
            by_step[run.task.step_key].append(run)
    for step, runs in by_step.items():
        tasks = pool.jobs[step.job_id].get_tasks(step.occurrence, step.step)
        rates = [1 / task.took_s for task in tasks if task.took_s]
        rates += [_get_rate(pool, run) for run in runs]
        if len(rates) > PEERS_MIN and (usual := statistics.median(rates)) > 0:
            yield from (
                _RunComparison(run, _get_rate(pool, run) / usual, 1 / usual) for run in runs
            )


def _iter_comparable(pool: PoolJobs, host: Host) -> Iterator[Run]:
    if host.contact is not HostContact.ANSWERING:
        return
    for run in host.runs.values():
        step = pool.jobs[run.task.job_id].spec.steps[run.task.step]
        is_comparable = not step.is_lasting and not step.is_gang and not step.fills_leftover
        is_near = not step.near_rack or host.record.rack == step.near_rack
        if (
            is_comparable
            and is_near
            and not step.wants_one_rack
            and run.phase is RunPhase.PRESENT
            and not run.is_resumed
            and not run.awaits_end
            and run.present_since_s is not None
            and not is_slowed(host, run)
            and host.reported_at_s - run.present_since_s >= COMPARED_AFTER_S
        ):
            yield run


def _get_rate(pool: PoolJobs, run: Run) -> float:
    """Return a run's progress per second, as a share of its work, at its host's last report."""
    assert run.present_since_s is not None
    worked_s = pool.hosts[run.host_id].reported_at_s - run.present_since_s
    return run.progress_percent / 100 / worked_s


def _is_worth_moving(pool: PoolJobs, straggler: Straggler) -> bool:
    rate = _get_rate(pool, straggler.run)
    left = 1 - straggler.run.progress_percent / 100
    return rate == 0.0 or left / rate > MOVE_WORTH_FACTOR * straggler.usual_s


def _iter_copyable_on_silent_hosts(pool: PoolJobs) -> Iterator[Task]:
    """Iterate over the tasks on silent hosts whose steps allow copies."""
    for host in pool.hosts.values():
        if host.contact is HostContact.SILENT:
            for run in host.runs.values():
                task = pool.jobs[run.task.job_id].get_task(run.task)
                if task.step.allows_copies:
                    yield task
