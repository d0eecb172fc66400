"""How many starts may wait for a host, by its pace of answers."""

import math
from typing import Final

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run
from robinthread._internal.models.start_order import START_TIMEOUT_S

# A host gets as many starts as it answers in this time; the others stay in the pool's queue.
START_BOUND_S: Final = 0.5
# A start that has waited for its turn at a host for this long is placed anew.  The host may have
# become twice as slow since it was chosen.
START_WAIT_MAX_S: Final = 2 * START_BOUND_S
# Maximum of the time in which starts are recorded that is added to these.  Without it, hosts would
# have nothing to answer while the next starts are recorded; with more, starts would wait too long
# once the store is fast again.
RECORDING_MAX_S: Final = 0.5
# Timeout of a start to a host whose answers take almost as long as the usual timeout, or longer.
SLOW_START_TIMEOUT_S: Final = 1.0
# Part of the usual timeout above which the mean of the answer times counts as that.
SLOW_START_SHARE: Final = 0.75


def get_start_timeout_s(host: Host, now_s: float) -> float:
    """Return how long to wait for a host's answer to a start.

    One lost answer among prompt ones does not change it.
    """
    is_slow = host.answer_times.get_mean_s(now_s) > SLOW_START_SHARE * START_TIMEOUT_S
    return SLOW_START_TIMEOUT_S if is_slow else START_TIMEOUT_S


def get_start_limit(host: Host, bound_s: float, now_s: float) -> float:
    """Return how many starts a host answers within a time, at least as many as it gets at once.

    It is infinite for a host of which no recent answers are known.
    """
    mean_s = host.answer_times.get_mean_s(now_s)
    slots = host.start_slots.count
    return max(slots, int(slots * bound_s / mean_s)) if mean_s else math.inf


def count_sendable(host: Host, now_s: float, bound_s: float) -> float:
    """Return how many more runs may be placed on a host so that all are sent within a time."""
    limit = get_start_limit(host, bound_s, now_s)
    return limit if limit == math.inf else limit - len(host.unanswered)


def can_send_soon(pool: PoolJobs, host: Host, now_s: float) -> bool:
    """Return whether the start of one more run would be sent soon after it is recorded."""
    return len(host.unanswered) < _get_limit(pool, host, START_BOUND_S, now_s)


def is_nearly_idle(pool: PoolJobs, host: Host, now_s: float) -> bool:
    """Return whether a host should get more starts now: some of its slots, or half of its limit."""
    limit = _get_limit(pool, host, START_BOUND_S, now_s)
    return len(host.unanswered) < max(host.start_slots.count, limit / 2)


def list_surplus(pool: PoolJobs, host: Host, now_s: float) -> list[Run]:
    """Return the unsent starts to take back from a host, which would not get to them in time.

    There are none unless some would wait for longer than ``START_WAIT_MAX_S``.  Members of gangs
    remain: they were placed within a time of their own.
    """
    if len(host.unanswered) <= _get_limit(pool, host, START_WAIT_MAX_S, now_s):
        return []
    unanswered = list(host.unanswered.values())
    kept_count = int(_get_limit(pool, host, START_BOUND_S, now_s))
    return [run for run in unanswered[kept_count:] if run.is_unsent and not _is_in_gang(pool, run)]


def get_wait_max_s(pool: PoolJobs, run: Run) -> float:
    """Return for how long a start may wait for its turn before its task is placed anew."""
    return pool.gang_timeout_s if _is_in_gang(pool, run) else START_WAIT_MAX_S


def _get_limit(pool: PoolJobs, host: Host, bound_s: float, now_s: float) -> float:
    """Return how many starts a host answers within a time after they are recorded."""
    recording_s = min(RECORDING_MAX_S, pool.recording_times.get_mean_s(now_s))
    return get_start_limit(host, bound_s + recording_s, now_s)


def _is_in_gang(pool: PoolJobs, run: Run) -> bool:
    return pool.jobs[run.task.job_id].spec.steps[run.task.step].is_gang
