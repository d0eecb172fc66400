"""Pauses between the runs of something that keeps failing."""

import math
from dataclasses import dataclass
from typing import Final

# Pause before the next run; it doubles with each further failure.
RESTART_PAUSE_MIN_S: Final = 0.1
RESTART_PAUSE_MAX_S: Final = 5.0
# What runs for this long without a failure counts as recovered.
RECOVERED_AFTER_S: Final = 10.0


@dataclass
class RestartBackoff:
    """Failures since the last recovery; ``restarted_at_s`` is infinite between two runs.

    Times are in seconds of any monotonic clock.
    """

    count: int = 0
    restarted_at_s: float = math.inf

    def has_recovered(self, now_s: float) -> bool:
        """Tell whether the current run has lasted long enough to forget earlier failures."""
        return now_s - self.restarted_at_s >= RECOVERED_AFTER_S

    def record(self, now_s: float) -> float:
        """Record a failure; return the pause in seconds before the next run."""
        self.count = 1 if self.has_recovered(now_s) else self.count + 1
        self.restarted_at_s = math.inf
        doublings = min(self.count - 1, 10)
        return min(RESTART_PAUSE_MIN_S * float(2**doublings), RESTART_PAUSE_MAX_S)
