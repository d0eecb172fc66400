"""Pacing of tasks that use leftover capacity beside tasks that serve requests."""

from dataclasses import dataclass
from typing import Final

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.models.job_spec import StepSpec

# Tail latency as a share of a serving task's target: above the first, leftover tasks on its host
# slow down, and below the second they speed up again.  Tail latencies are rough figures of the
# last half second.
PRESSURE_HIGH: Final = 0.85
PRESSURE_LOW: Final = 0.6
# Least time between two pace changes of a task: an order takes effect after 0.1 s, and the tail
# latency shows it half a second later.  It takes four steps from full speed to a stop, which is
# half of the shortest time for which harm is tolerated.
PACE_PERIOD_S: Final = 0.5
SPEED_UP_PERCENT: Final = 10
FULL_PERCENT: Final = 100
# A pace below this is of no use to the task and is set to zero.
SLOWEST_PERCENT: Final = 10
SLOW_DOWN_SHARE: Final = 0.4


@dataclass(frozen=True)
class PaceChange:
    """A run and its new pace, in percent of full speed."""

    run: Run
    percent: int


def choose_paces(pool: PoolJobs, now_s: float) -> list[PaceChange]:
    """Return the pace changes that the tail latencies of serving tasks require."""
    return [
        PaceChange(run, percent)
        for host in pool.hosts.values()
        if host.contact is HostContact.ANSWERING
        for run in _list_leftover_runs(pool, host)
        if now_s - run.paced_at_s >= PACE_PERIOD_S
        and (percent := _choose_percent(run.pace_percent, get_pressure(pool, host)))
        != run.pace_percent
    ]


def get_pressure(pool: PoolJobs, host: Host) -> float:
    """Return the highest ratio of tail latency to target among a host's serving tasks."""
    shares = (
        run.recent_load / target_ms
        for run in host.runs.values()
        if run.recent_load is not None and (target_ms := _get_step(pool, run).latency_target_ms) > 0
    )
    return max(shares, default=0.0)


def _choose_percent(percent: int, pressure: float) -> int:
    if pressure > PRESSURE_HIGH:
        slower = int(percent * SLOW_DOWN_SHARE)
        return slower if slower >= SLOWEST_PERCENT else 0
    if pressure < PRESSURE_LOW:
        return min(FULL_PERCENT, percent + SPEED_UP_PERCENT)
    return percent


def _list_leftover_runs(pool: PoolJobs, host: Host) -> list[Run]:
    return [
        run
        for run in host.runs.values()
        if run.phase is RunPhase.PRESENT and _get_step(pool, run).fills_leftover
    ]


def _get_step(pool: PoolJobs, run: Run) -> StepSpec:
    return pool.jobs[run.task.job_id].spec.steps[run.task.step]
