"""Calculation of the number of hosts that a pool needs."""

import math
from dataclasses import dataclass
from typing import Final

from robinthread._internal.fleet.pool_report import PoolReport
from robinthread._internal.models.resources import Resources

# Share of a host's capacity that tasks of mixed sizes fill in practice.
FILL_SHARE: Final = 1.0
# The minimum number of hosts of a pool, even without work: one host may fail, and the next job
# should not wait until a machine has moved to the pool.
HOSTS_MIN: Final = 2


@dataclass(frozen=True, slots=True)
class PoolSize:
    """The number of hosts below which a pool fetches more, and above which it releases some.

    ``shortage_count`` hosts are fetched in any case, for tasks that fit on none of its hosts.
    """

    fetch_count: int
    keep_count: int
    shortage_count: int = 0


def get_pool_size(report: PoolReport, capacity: Resources) -> PoolSize:
    """Return how many hosts of a ``capacity`` a pool needs.

    The sum of resources is not enough, since each task must fit on one host.  Hosts for tasks
    that do not fit beside lasting tasks are kept in addition to the hosts for the lasting tasks.
    Hosts that run lasting tasks are kept while the pool lacks hosts for more lasting tasks.
    """
    fetch_count = max(report.hosts_min, _count_hosts(report.fetch_resources, capacity))
    keep_count = max(
        fetch_count,
        _count_hosts(report.keep_resources, capacity),
        _count_lasting_and_separate(report, capacity),
        get_minimum_count(report, capacity),
    )
    return PoolSize(fetch_count, keep_count, sum(shortage.count for shortage in report.shortages))


def get_minimum_count(report: PoolReport, capacity: Resources) -> int:
    """Return how many hosts a pool needs for its lasting tasks, at least ``HOSTS_MIN``."""
    carrying_count = sum(
        host.is_usable and not host.is_vacating and host.lasting_count > 0 for host in report.hosts
    )
    lasting_shortage = _count_lasting_shortage(report)
    kept_count = carrying_count + lasting_shortage if lasting_shortage else 0
    return max(HOSTS_MIN, _count_lasting(report, capacity), kept_count)


def get_lasting_count(report: PoolReport, capacity: Resources) -> float:
    """Return how many whole hosts the lasting tasks of a pool take."""
    return get_host_ratio(report.lasting_resources, capacity)


def _count_lasting_and_separate(report: PoolReport, capacity: Resources) -> int:
    """Return how many hosts lasting tasks need, plus hosts for tasks that need separate ones."""
    shortage_count = sum(shortage.count for shortage in report.shortages)
    separate_host_count = (
        report.separate_host_count + shortage_count - _count_lasting_shortage(report)
    )
    return _count_lasting(report, capacity) + separate_host_count


def _count_lasting(report: PoolReport, capacity: Resources) -> int:
    return max(report.hosts_min, _count_full_hosts(report.lasting_resources, capacity))


def _count_lasting_shortage(report: PoolReport) -> int:
    return sum(shortage.count for shortage in report.shortages if shortage.is_lasting)


def _count_hosts(resources: tuple[int, int, int], capacity: Resources) -> int:
    return max(HOSTS_MIN, _count_full_hosts(resources, capacity))


def _count_full_hosts(resources: tuple[int, int, int], capacity: Resources) -> int:
    return math.ceil(get_host_ratio(resources, capacity) / FILL_SHARE)


def get_host_ratio(resources: tuple[float, float, float], capacity: Resources) -> float:
    """Return how many hosts of a ``capacity`` have these resources, as a fraction."""
    cpu_millicores, memory_mb, gpu_count = resources
    ratios = (
        cpu_millicores / max(1, capacity.cpu_millicores),
        memory_mb / max(1, capacity.memory_mb),
        gpu_count / capacity.gpu_count if capacity.gpu_count else 0.0,
    )
    return max(ratios)
