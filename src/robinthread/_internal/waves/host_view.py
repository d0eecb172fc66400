"""A host as a wave's policy sees it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HostView:
    """A host that waits in a wave; times are in seconds.

    ``residuals_s`` are the expected times left of its running tasks, longest
    first; ``steered_s`` is how long new work has been steered away from it.
    """

    name: str
    rack: str
    slots: int
    residuals_s: tuple[float, ...] = ()
    steered_s: float = 0.0

    @property
    def drain_s(self) -> float:
        """Return the expected time until the host is empty."""
        return max(self.residuals_s, default=0.0)

    @property
    def held_back_slot_s(self) -> float:
        """Return the slot-seconds idle while the host drains."""
        return self.slots * self.drain_s - sum(self.residuals_s)
