"""How many hosts a pool needs."""

import math
from typing import Final

from robinthread._internal.fleet.fleet_view import PoolView
from robinthread._internal.models.resources import Resources

# Share of a host's room that tasks of mixed sizes fill in practice.
FILL_SHARE: Final = 0.9
# Hosts of a pool that has nothing to do: one may fail, and the next job should not
# wait for a move.
HOSTS_MIN: Final = 2


def count_hosts_needed(view: PoolView, room: Resources) -> int:
    """Return how many hosts of ``room`` a pool's tasks need."""
    report = view.report
    ratios = (
        report.needs_cpu_millicores / max(1, room.cpu_millicores),
        report.needs_memory_mb / max(1, room.memory_mb),
        report.needs_gpu_count / room.gpu_count if room.gpu_count else 0.0,
    )
    return max(HOSTS_MIN, math.ceil(max(ratios) / FILL_SHARE))
