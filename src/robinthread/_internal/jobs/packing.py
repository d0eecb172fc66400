"""Shares of hosts that tasks take, counting what remains free because no further task fits."""

from functools import reduce

from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.models.resources import NO_RESOURCES, Resources


def get_largest_capacity(pool: PoolJobs) -> Resources:
    """Return the most of each resource that any host of a pool has."""
    capacities = (host.record.capacity for host in pool.hosts.values())
    return reduce(Resources.max, capacities, NO_RESOURCES)


def get_packing_factor(resources: Resources, capacity: Resources) -> float:
    """Return the ratio of a host to the part of it that tasks of one size can fill, at least 1."""
    used = resources.get_utilization(capacity)
    if not used or used > 1:
        return 1.0
    return 1 / (used * int(1 / used + 1e-9))
