"""Starts on cold hosts, and which runs were slowed down by a cold host."""

import math

from robinthread._internal.jobs.cold_state import TOKEN_MIN, ColdStartLimit
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run
from robinthread._internal.models.pool_policy import PoolPolicy


def make_start_limit(policy: PoolPolicy | None, slack: float) -> ColdStartLimit:
    """Return the limit that a pool's configuration sets, with a burst of ``slack`` starts."""
    starts_per_s = 0.0 if policy is None else policy.cold_starts_per_s
    return ColdStartLimit(starts_per_s, max(1.0, slack))


def set_start_limit(pool: PoolJobs, limit: ColdStartLimit, now_s: float) -> None:
    """Apply a limit to a pool; its hosts that respond gather tokens from now on at the latest."""
    pool.cold_start_limit = limit
    if limit.starts_per_s:
        for host in pool.hosts.values():
            if host.contact is HostContact.ANSWERING:
                host.cold.refill(limit, now_s)


def is_slowed(host: Host, run: Run) -> bool:
    """Return whether a run was on its host while that was cold."""
    return run.present_since_s is not None and host.cold.was_cold_since(run.present_since_s)


def count_startable(pool: PoolJobs, host: Host, now_s: float) -> float:
    """Return how many runs may be placed on a host now, by the limit for cold hosts.

    Runs that were placed but not sent yet will take a token each.
    """
    limit = pool.cold_start_limit
    if not limit.restricts_starts or not host.cold.is_cold(now_s):
        return math.inf
    if not limit.is_known:
        return 0
    unsent_count = sum(run.is_unsent for run in host.runs.values())
    return math.floor(host.cold.refill(limit, now_s) + 1 - TOKEN_MIN) - unsent_count


def may_start(pool: PoolJobs, host: Host, now_s: float) -> bool:
    """Return whether a run may be placed on a host now, by the limit for cold hosts."""
    return not pool.cold_start_limit.restricts_starts or count_startable(pool, host, now_s) >= 1
