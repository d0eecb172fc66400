"""The data on a host that the policy of a wave uses."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HostView:
    """A host that waits for its maintenance in a wave; times are in seconds.

    ``residuals_s`` are the expected remaining run times of its tasks, longest first;
    ``steered_s`` is how long new work has been steered away from it.
    """

    name: str
    rack: str
    slots: int
    residuals_s: tuple[float, ...] = ()
    steered_s: float = 0.0

    @property
    def drain_s(self) -> float:
        """Return the expected time until all tasks on the host have ended."""
        return max(self.residuals_s, default=0.0)

    @property
    def held_back_slot_s(self) -> float:
        """Return the slot-seconds that are idle while the host drains."""
        return self.slots * self.drain_s - sum(self.residuals_s)
