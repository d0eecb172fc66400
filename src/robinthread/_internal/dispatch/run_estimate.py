"""Estimates of run times from finished tasks."""

import bisect
from collections import deque
from typing import Final

from robinthread._internal.settings.dispatch_settings import DispatchSettings

SAMPLES_MAX: Final = 256
RESIDUAL_AGE_FRACTION: Final = 0.5
TIME_LEFT_MARGIN: Final = 1.1


class RunEstimate:
    """Run times in seconds of the last ``SAMPLES_MAX`` tasks that ran, and a moving average.

    Declared run times are not used: they are far off.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self.mean_s = settings.first_run_estimate_s
        self._weight = settings.run_estimate_weight
        self._count = 0
        self._order: deque[float] = deque(maxlen=SAMPLES_MAX)
        self._sorted: list[float] = []

    def record_run(self, run_s: float) -> None:
        """Record the run time of a finished task."""
        self._count += 1
        weight = max(self._weight, 1 / self._count)
        self.mean_s += weight * (run_s - self.mean_s)
        if len(self._order) == SAMPLES_MAX:
            del self._sorted[bisect.bisect_left(self._sorted, self._order[0])]
        self._order.append(run_s)
        bisect.insort(self._sorted, run_s)

    def get_min_time_left_s(self) -> float:
        """Return the seconds before its deadline that a task needs to be worth starting.

        This is the median run time plus a margin.  With less, the task more likely
        than not ends after its deadline, and its whole run is wasted.
        """
        if not self._sorted:
            return self.mean_s
        return self._sorted[len(self._sorted) // 2] * TIME_LEFT_MARGIN

    def get_residual_s(self, age_s: float) -> float:
        """Return the expected remaining seconds of a task that has run for ``age_s``.

        For a task older than every recorded run, a fraction of its age is the only
        estimate available.
        """
        longer = self._sorted[bisect.bisect_right(self._sorted, age_s) :]
        if longer:
            return sum(longer) / len(longer) - age_s
        return max(self.mean_s - age_s, age_s * RESIDUAL_AGE_FRACTION)
