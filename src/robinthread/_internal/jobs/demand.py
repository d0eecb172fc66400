"""How much room a pool's jobs need."""

import math
from collections import deque
from dataclasses import dataclass
from typing import Final

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run_times import RunTimes
from robinthread._internal.models.resources import NO_RESOURCES, Resources

# Demand that has passed is remembered for about so long: hosts that leave are
# missing for a move's time (1.5 s) if it comes back.
MEMORY_S: Final = 1.5
# Jobs handed in within twice so long tell the rate at which work arrives; those of
# the later half, against those of the earlier one, whether it rises.
RATE_WINDOW_S: Final = 0.6
# Weight of a new job in the mean work of a job: some ten are remembered.
WORK_WEIGHT: Final = 0.1
# A rise counts that is so many times what chance alone brings.
TREND_DEVIATIONS_MIN: Final = 1.2
# The forecast of a rising rate is at most so many times the rate.
TREND_FACTOR_MAX: Final = 1.3


@dataclass(frozen=True, slots=True)
class Work:
    """Room times seconds."""

    cpu: float = 0.0
    memory: float = 0.0
    gpu: float = 0.0

    def __add__(self, other: "Work") -> "Work":
        return Work(self.cpu + other.cpu, self.memory + other.memory, self.gpu + other.gpu)

    def scale(self, factor: float) -> "Work":
        """Return the work times a factor."""
        return Work(self.cpu * factor, self.memory * factor, self.gpu * factor)

    def max(self, other: "Work") -> "Work":
        """Return the greater of each kind."""
        return Work(
            max(self.cpu, other.cpu), max(self.memory, other.memory), max(self.gpu, other.gpu)
        )


class DemandMeter:
    """Room that a pool's tasks need: it rises at once and falls slowly.

    Where more and more work arrives, it is what will be needed ``lead_s`` from
    now, when a host that is asked for today begins to serve.
    """

    def __init__(self, lead_s: float) -> None:
        self._lead_s = lead_s
        self._arrivals: deque[float] = deque()
        self._mean_work: Work | None = None
        self._kept = Work()
        self._read_at_s = 0.0

    def note_job(self, job: Job, times: RunTimes, now_s: float) -> None:
        """Note a job that was handed in."""
        if not job.spec.is_lasting and not job.spec.is_timed:
            work = get_work(job, times)
            mean = self._mean_work or work
            self._mean_work = mean.scale(1 - WORK_WEIGHT) + work.scale(WORK_WEIGHT)
            self._arrivals.append(now_s)

    def read(self, pool: PoolJobs, now_s: float) -> Resources:
        """Return the room that the pool's tasks need, now or soon."""
        lasting, passing = _sum_needed(pool)
        needed = passing.max(self._forecast(now_s))
        faded = math.exp(-(now_s - self._read_at_s) / MEMORY_S)
        self._read_at_s = now_s
        self._kept = needed.max(self._kept.scale(faded))
        total = self._kept + lasting
        return Resources(round(total.cpu), round(total.memory), round(total.gpu))

    def _forecast(self, now_s: float) -> Work:
        """Return the room that jobs of usual size need at the rate that is to come.

        One large job tells nothing of the next: it is counted where its tasks are.
        """
        while self._arrivals and now_s - self._arrivals[0] > 2 * RATE_WINDOW_S:
            self._arrivals.popleft()
        if self._mean_work is None:
            return Work()
        total = len(self._arrivals)
        recent = sum(now_s - at_s <= RATE_WINDOW_S for at_s in self._arrivals)
        rise = 2 * recent - total
        if recent < 2 or rise < TREND_DEVIATIONS_MIN * math.sqrt(total):
            return self._mean_work.scale(total / (2 * RATE_WINDOW_S))
        factor = 1 + rise / recent * self._lead_s / RATE_WINDOW_S
        return self._mean_work.scale(recent * min(factor, TREND_FACTOR_MAX) / RATE_WINDOW_S)


def get_work(job: Job, times: RunTimes) -> Work:
    """Return the work of a job that has not begun."""
    parts = (
        _as_work(step.room).scale(step.task_count * times.estimate_s(job.spec.queue, step))
        for step in job.spec.steps
    )
    return sum(parts, start=Work())


def _sum_needed(pool: PoolJobs) -> tuple[Work, Work]:
    """Sum the room of all tasks that run or wait: those that last, and the others."""
    running = (
        pool.jobs[task.job_id].get_task(task).step
        for host in pool.hosts.values()
        for task, _number in host.runs
    )
    steps = [*running, *(task.step for task in pool.waiting.values())]
    lasting = sum((step.room for step in steps if step.is_lasting), start=NO_RESOURCES)
    passing = sum((step.room for step in steps if not step.is_lasting), start=NO_RESOURCES)
    return _as_work(lasting), _as_work(passing)


def _as_work(room: Resources) -> Work:
    return Work(room.cpu_millicores, room.memory_mb, room.gpu_count)
