"""How fast a stand-in's host works while it is cold."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class ColdSpeed:
    """A host that works ``slowness`` times slower until ``until_s`` of the event loop's clock."""

    until_s: float
    slowness: float

    def get_duration_s(self, work_s: float, began_at_s: float) -> float:
        """Return how long it takes to do work that takes ``work_s`` on a warm host."""
        cold_s = max(0.0, self.until_s - began_at_s)
        return min(work_s * self.slowness, work_s + cold_s - cold_s / self.slowness)

    def get_done_s(self, began_at_s: float, now_s: float) -> float:
        """Return the work done by now, as the seconds that it takes on a warm host."""
        cold_s = max(0.0, min(self.until_s, now_s) - began_at_s)
        return cold_s / self.slowness + (now_s - began_at_s - cold_s)


WARM: Final = ColdSpeed(0.0, 1.0)
