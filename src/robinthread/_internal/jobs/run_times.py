"""How long tasks take, learnt queue by queue from those that were done."""

import math
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.job_spec import StepSpec

# Weight of a new sample: some twenty runs are remembered.
SAMPLE_WEIGHT: Final = 0.05
# Samples without which a queue's own figures say little.
SAMPLES_MIN: Final = 5
# Taken where a job says nothing and nothing has been learnt.
UNKNOWN_S: Final = 1.0
SHORTEST_S: Final = 0.01


@dataclass
class _QueueTimes:
    """Logarithms of run times: their mean, that of real over declared, both spreads.

    ``mean_s`` and ``mean_ratio`` are what both means stand for.
    """

    sample_count: int = 0
    mean_log: float = 0.0
    mean_log_ratio: float = 0.0
    spread_log: float = 0.0
    spread_log_ratio: float = 0.0
    mean_s: float = 0.0
    mean_ratio: float = 1.0

    def add(self, seconds: float, declared_s: float) -> None:
        """Take one run in."""
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

    What a job declares may be far off, by more in some queues than in others.
    Each queue's own mean is taken instead where it has been the better guess.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _QueueTimes] = {}

    def add(self, queue: str, step: StepSpec, seconds: float) -> None:
        """Note how long a task took that was done."""
        self._queues.setdefault(queue, _QueueTimes()).add(seconds, _get_declared_s(step))

    def estimate_s(self, queue: str, step: StepSpec) -> float:
        """Return how long a task of a step should take."""
        declared_s = _get_declared_s(step)
        times = self._queues.get(queue)
        if times is None or times.sample_count < SAMPLES_MIN:
            return declared_s
        if times.spread_log_ratio < times.spread_log:
            return declared_s * times.mean_ratio
        return times.mean_s


def _get_declared_s(step: StepSpec) -> float:
    return step.estimate_ms / 1000 or UNKNOWN_S
