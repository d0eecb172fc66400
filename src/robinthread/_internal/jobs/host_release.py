"""When a host that another pool needs becomes empty, and which runs are stopped for that."""

from collections.abc import Callable
from functools import cache
from typing import Final

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.remaining_time import get_actual_slack_s, get_run_left_s
from robinthread._internal.jobs.run import Run, RunPhase

# Time from the decision to stop a run until its owner knows that it has ended: the steward's
# request, the order, the stop itself (``stop_ms``, 0.2 s) and the poll.
STOP_TAKES_S: Final = 0.4
# A run of a job that can be on time is stopped only if the job has at least this slack: the time
# until another host of its own pool has room, which is about half of a long task.
STOP_SLACK_MIN_S: Final = 1.0


# Returns the slack of an occurrence of a job in seconds.
ReadSlack = Callable[[str, int], float]


def make_slack_reader(pool: PoolJobs, now_s: float, now_ms: int) -> ReadSlack:
    """Return a function that computes each slack once; the tasks of a job run on many hosts."""

    @cache
    def get_slack(job_id: str, occurrence: int) -> float:
        return get_actual_slack_s(pool, pool.jobs[job_id], occurrence, now_s, now_ms)

    return get_slack


def get_empty_in_s(pool: PoolJobs, host: Host, now_s: float, get_slack: ReadSlack) -> float:
    """Return the time until a host has no runs if those that keep checkpoints are stopped.

    It is infinite for a host with lasting tasks, as an estimate of the time to vacate those is
    not available.
    """
    return max((_get_end_s(pool, run, now_s, get_slack) for run in host.runs.values()), default=0.0)


def should_stop_for_release(
    pool: PoolJobs, host: Host, run: Run, now_s: float, get_slack: ReadSlack
) -> bool:
    """Tell whether a run with checkpoints is to be stopped on a host that another pool needs.

    It goes on while a run that can't be stopped holds the host for longer than a stop takes.
    """
    if not (host.is_needed_elsewhere and host.is_vacating(now_s)):
        return False
    if not _may_stop(pool, run, get_slack) or get_run_left_s(pool, run, now_s) <= STOP_TAKES_S:
        return False
    held_s = max(
        (
            get_run_left_s(pool, other, now_s)
            for other in host.runs.values()
            if not _may_stop(pool, other, get_slack)
        ),
        default=0.0,
    )
    return held_s <= STOP_TAKES_S


def _get_end_s(pool: PoolJobs, run: Run, now_s: float, get_slack: ReadSlack) -> float:
    left_s = get_run_left_s(pool, run, now_s)
    is_stopped = run.phase is RunPhase.STOPPING or _may_stop(pool, run, get_slack)
    return min(left_s, STOP_TAKES_S) if is_stopped else left_s


def _may_stop(pool: PoolJobs, run: Run, get_slack: ReadSlack) -> bool:
    job = pool.jobs[run.task.job_id]
    step = job.spec.steps[run.task.step]
    if not step.keeps_checkpoints or step.is_lasting or step.is_gang:
        return False
    slack_s = get_slack(job.id, run.task.occurrence)
    return job.is_beyond_share or not 0 <= slack_s < STOP_SLACK_MIN_S
