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
    """Hosts below which a pool fetches more, and above which it lets some go."""

    fetch_count: int
    keep_count: int


def get_pool_size(report: PoolReport, room: Resources) -> PoolSize:
    """Return how many hosts of ``room`` a pool needs."""
    fetch_count = max(report.hosts_min, _count_hosts(report.fetch_room, room))
    return PoolSize(fetch_count, max(fetch_count, _count_hosts(report.keep_room, room)))


def _count_hosts(needs: tuple[int, int, int], room: Resources) -> int:
    cpu_millicores, memory_mb, gpu_count = needs
    ratios = (
        cpu_millicores / max(1, room.cpu_millicores),
        memory_mb / max(1, room.memory_mb),
        gpu_count / room.gpu_count if room.gpu_count else 0.0,
    )
    return max(HOSTS_MIN, math.ceil(max(ratios) / FILL_SHARE))
