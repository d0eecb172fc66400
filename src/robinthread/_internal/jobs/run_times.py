"""Estimates of the run time of tasks, learned by queue from completed tasks."""

import math
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.job_spec import StepSpec

# Weight of a new sample: the average covers about twenty runs.
SAMPLE_WEIGHT: Final = 0.05
# With fewer samples than this, a queue's own averages are not reliable.
SAMPLES_MIN: Final = 5
# Run time of tasks whose job declares none, until samples of their queue exist.
UNKNOWN_S: Final = 1.0
SHORTEST_S: Final = 0.01


@dataclass
class _QueueTimes:
    """Mean and spread of log run times, and of the log ratio of actual to declared times.

    ``mean_s`` and ``mean_ratio`` are the exponentials of both means.
    """

    sample_count: int = 0
    mean_log: float = 0.0
    mean_log_ratio: float = 0.0
    spread_log: float = 0.0
    spread_log_ratio: float = 0.0
    mean_s: float = 0.0
    mean_ratio: float = 1.0

    def add(self, seconds: float, declared_s: float) -> None:
        """Add the run time of one run."""
        log = math.log(max(seconds, SHORTEST_S))
        log_ratio = log - math.log(max(declared_s, SHORTEST_S))
        self.sample_count += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.sample_count)
        self.spread_log += weight * (abs(log - self.mean_log) - self.spread_log)
        self.spread_log_ratio += weight * (
            abs(log_ratio - self.mean_log_ratio) - self.spread_log_ratio
        )
        self.mean_log += weight * (log - self.mean_log)
        self.mean_log_ratio += weight * (log_ratio - self.mean_log_ratio)
        self.mean_s = math.exp(self.mean_log)
        self.mean_ratio = math.exp(self.mean_log_ratio)


class RunTimes:
    """Estimates of how long a task takes.

    Declared run times may be far off, in some queues more than in others.  A queue's mean run
    time is used instead where it varies less than the ratio of actual to declared times.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _QueueTimes] = {}

    def add(self, queue: str, step: StepSpec, seconds: float) -> None:
        """Record the run time of a completed task."""
        self._queues.setdefault(queue, _QueueTimes()).add(seconds, _get_declared_s(step))

    def estimate_s(self, queue: str, step: StepSpec) -> float:
        """Return the expected run time of a task of a step, in seconds."""
        declared_s = _get_declared_s(step)
        times = self._queues.get(queue)
        if times is None or times.sample_count < SAMPLES_MIN:
            return declared_s
        if times.spread_log_ratio < times.spread_log:
            return declared_s * times.mean_ratio
        return times.mean_s


def _get_declared_s(step: StepSpec) -> float:
    return step.estimate_ms / 1000 or UNKNOWN_S
