"""A machine with virtual clocks that can be suspended."""

from robinthread._internal.experiments.virtual_time import VirtualClock


class Machine(VirtualClock):
    """The clocks of a machine; time passes only while its process waits or it is suspended."""

    def __init__(self) -> None:
        super().__init__()
        self.suspended_s = 0.0

    @property
    def awake_s(self) -> float:
        """Return the seconds that have passed without the suspensions."""
        return self.elapsed_s - self.suspended_s

    def suspend(self, for_s: float) -> None:
        """Suspend the machine: no code runs and its monotonic clock stops."""
        self.suspended_s += for_s
        self.elapsed_s += for_s
