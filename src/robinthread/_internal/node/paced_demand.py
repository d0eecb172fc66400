"""Reading a pool's need no more often than its node can bear."""

import math
from typing import Final

from robinthread._internal.jobs.demand import Demand, DemandMeter
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.node.pool_runtime import get_loop_s

# The need is read anew no sooner than after so many times as long as reading it took, so that a
# tenth of the processor at most goes there: with 200 jobs of a turn a reading takes 4 ms, and
# each 0.1 s that is a third of an entry host with 0.12 core.
PAUSE_SHARE: Final = 9.0
# Longest such pause: a third of the time that a machine takes to move.
PAUSE_MAX_S: Final = 0.5


class PacedDemand:
    """A pool's need as last read; each reading looks at all of the pool's jobs."""

    def __init__(self, meter: DemandMeter) -> None:
        self._meter = meter
        self._known: Demand | None = None
        self._due_s = -math.inf

    def note_job(self, job: Job, pool: PoolJobs) -> None:
        """Note a job that was handed in."""
        self._meter.note_job(job, pool.run_times, get_loop_s())

    def read(self, pool: PoolJobs, now_ms: int) -> Demand:
        """Return what the pool's tasks need; read anew where that is due."""
        began_at_s = get_loop_s()
        if self._known is None or began_at_s >= self._due_s:
            self._known = self._meter.read(pool, began_at_s, now_ms)
            took_s = get_loop_s() - began_at_s
            self._due_s = began_at_s + min(PAUSE_MAX_S, PAUSE_SHARE * took_s)
        return self._known
