"""How much room a pool's jobs need."""

import math
from typing import Final

from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.models.resources import NO_RESOURCES, Resources

# Demand that has passed is remembered for about so long: hosts that leave are
# missing for a move's time (1.5 s) if it comes back.
MEMORY_S: Final = 1.5


class DemandMeter:
    """Room that tasks need: it rises at once and falls slowly."""

    def __init__(self) -> None:
        self._cpu = 0.0
        self._memory = 0.0
        self._gpu = 0.0
        self._read_at_s = 0.0

    def read(self, pool: PoolJobs, now_s: float) -> Resources:
        """Return the room that the pool's tasks need now or needed just now."""
        needed = sum_needed(pool)
        kept = math.exp(-(now_s - self._read_at_s) / MEMORY_S)
        self._read_at_s = now_s
        self._cpu = max(needed.cpu_millicores, self._cpu * kept)
        self._memory = max(needed.memory_mb, self._memory * kept)
        self._gpu = max(needed.gpu_count, self._gpu * kept)
        return Resources(round(self._cpu), round(self._memory), round(self._gpu))


def sum_needed(pool: PoolJobs) -> Resources:
    """Sum the room of all tasks that run or wait for a host."""
    running = (
        pool.jobs[task.job_id].get_task(task).step.room
        for host in pool.hosts.values()
        for task, _number in host.runs
    )
    waiting = (task.step.room for task in pool.waiting.values())
    return sum((*running, *waiting), start=NO_RESOURCES)
