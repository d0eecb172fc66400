"""How many hosts a pool needs."""

import math
from dataclasses import dataclass
from typing import Final

from robinthread._internal.fleet.pool_report import PoolReport
from robinthread._internal.models.resources import Resources

# Share of a host's room that tasks of mixed sizes fill in practice.
FILL_SHARE: Final = 1.0
# Hosts of a pool that has nothing to do: one may fail, and the next job should not
# wait for a move.
HOSTS_MIN: Final = 2


@dataclass(frozen=True, slots=True)
class PoolSize:
    """Hosts below which a pool fetches more, and above which it lets some go.

    ``shortage_count`` hosts are to come in any case, for tasks that fit on none that is there.
    """

    fetch_count: int
    keep_count: int
    shortage_count: int = 0


@dataclass(frozen=True, slots=True)
class HostTiers:
    """Hosts that a pool needs, each count within the next one.

    ``minimum_count`` for what lasts, ``urgent_count`` with jobs that can be on time, and
    ``wanted_count`` with all others.
    """

    minimum_count: int
    urgent_count: int
    wanted_count: int


def get_pool_size(report: PoolReport, capacity: Resources) -> PoolSize:
    """Return how many hosts of ``capacity`` a pool needs.

    Room in sum is not room on a host: the hosts that tasks need which do not fit beside
    lasting ones are kept on top of those that the lasting ones need, and what carries
    lasting tasks is kept while hosts are missing for more of these.
    """
    fetch_count = max(report.hosts_min, _count_hosts(report.fetch_resources, capacity))
    keep_count = max(
        fetch_count,
        _count_hosts(report.keep_resources, capacity),
        _count_lasting_and_separate(report, capacity),
        _count_minimum(report, capacity),
    )
    return PoolSize(fetch_count, keep_count, sum(shortage.count for shortage in report.shortages))


def get_host_tiers(report: PoolReport, size: PoolSize, capacity: Resources) -> HostTiers:
    """Return how many hosts of ``capacity`` a pool of such a size needs, by what for."""
    urgent_resources = (
        report.keep_resources if report.urgent_resources is None else report.urgent_resources
    )
    minimum_count = _count_minimum(report, capacity)
    urgent_count = max(
        minimum_count,
        _count_hosts(urgent_resources, capacity),
        _count_lasting_and_separate(report, capacity),
    )
    return HostTiers(minimum_count, min(urgent_count, size.keep_count), size.keep_count)


def _count_minimum(report: PoolReport, capacity: Resources) -> int:
    """Return how many hosts a pool needs for its lasting tasks."""
    carrying_count = sum(
        host.is_usable and not host.is_vacating and host.lasting_count > 0 for host in report.hosts
    )
    lasting_shortage = _count_lasting_shortage(report)
    kept_count = carrying_count + lasting_shortage if lasting_shortage else 0
    return max(HOSTS_MIN, _count_lasting(report, capacity), kept_count)


def _count_lasting_and_separate(report: PoolReport, capacity: Resources) -> int:
    """Return how many hosts are needed for lasting tasks, and beside these for wide ones."""
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
    cpu_millicores, memory_mb, gpu_count = resources
    ratios = (
        cpu_millicores / max(1, capacity.cpu_millicores),
        memory_mb / max(1, capacity.memory_mb),
        gpu_count / capacity.gpu_count if capacity.gpu_count else 0.0,
    )
    return math.ceil(max(ratios) / FILL_SHARE)
