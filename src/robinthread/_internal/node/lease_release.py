"""What the owner of a pool tells its successor of the leases that it leaves."""

import math

from robinthread._internal.durable.released_leases import ReleasedLeases
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.lease_times import get_lapse_time_s
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.node.pool_runtime import LEASE_MS


def list_released(jobs: PoolJobs, now_s: float, longest_ms: float) -> ReleasedLeases:
    """Return the leases that an owner leaves when it has stopped.

    Not regular are hosts whose next incarnation may have taken an order of this owner: those that
    do not respond, those with a start that has no response, and those that do not tell their start.
    ``longest_ms`` is the longest lease that a host accepts.
    """
    over_at_s = get_lapse_time_s(LEASE_MS, now_s)
    regular, longer_ms = set(), dict[str, int]()
    for host in jobs.hosts.values():
        host_over_at_s = _get_over_at_s(jobs, host, now_s, longest_ms)
        if _is_heard(host) and host_over_at_s <= over_at_s:
            regular.add(host.id)
        elif host.runs:
            over_in_ms = max(0, math.ceil((host_over_at_s - now_s) * 1000))
            longer_ms[host.record.id] = max(over_in_ms, longer_ms.get(host.record.id, 0))
    return ReleasedLeases(frozenset(regular), longer_ms)


def _is_heard(host: Host) -> bool:
    is_answering = host.contact is HostContact.ANSWERING
    return is_answering and host.record.host_started_at_ms is not None


def _get_over_at_s(jobs: PoolJobs, host: Host, now_s: float, longest_ms: float) -> float:
    """Return when all leases on a host are over, also those of starts under way."""
    over_at_s = max(host.lease.over_at_s, host.lease.longest_over_at_s)
    if jobs.unconfirmed_starts.list_open(host.record.id, now_s):
        last_order_s = jobs.unconfirmed_starts.get_last_deadline_s(host.record.id)
        over_at_s = max(over_at_s, get_lapse_time_s(longest_ms, last_order_s))
    return max([over_at_s, *map(host.get_run_over_at_s, host.runs.values())])
