"""Run times learnt from outcomes."""

import bisect
from collections import deque
from typing import Final

from robinthread._internal.settings.dispatch_settings import DispatchSettings

SAMPLES_MAX: Final = 256
RESIDUAL_AGE_FRACTION: Final = 0.5
TIME_LEFT_MARGIN: Final = 1.1


class RunEstimate:
    """Run times in seconds of the last tasks; declared ones are far off."""

    def __init__(self, settings: DispatchSettings) -> None:
        self.mean_s = settings.first_run_estimate_s
        self._weight = settings.run_estimate_weight
        self._count = 0
        self._order: deque[float] = deque(maxlen=SAMPLES_MAX)
        self._sorted: list[float] = []

    def record_run(self, run_s: float) -> None:
        """Note a finished run."""
        self._count += 1
        weight = max(self._weight, 1 / self._count)
        self.mean_s += weight * (run_s - self.mean_s)
        if len(self._order) == SAMPLES_MAX:
            del self._sorted[bisect.bisect_left(self._sorted, self._order[0])]
        self._order.append(run_s)
        bisect.insort(self._sorted, run_s)

    def get_min_time_left_s(self) -> float:
        """Return the time that a task must have left to be worth starting.

        The median run and a margin: with less, it more likely than not ends
        too late, and all of it is wasted.
        """
        if not self._sorted:
            return self.mean_s
        return self._sorted[len(self._sorted) // 2] * TIME_LEFT_MARGIN

    def get_residual_s(self, age_s: float) -> float:
        """Return the expected time left of a task that has run for ``age_s``.

        Past every known run time, a share of the age is all there is to go by.
        """
        longer = self._sorted[bisect.bisect_right(self._sorted, age_s) :]
        if longer:
            return sum(longer) / len(longer) - age_s
        return max(self.mean_s - age_s, age_s * RESIDUAL_AGE_FRACTION)
