"""A machine whose clocks are virtual, and that can be suspended."""

from robinthread._internal.experiments.virtual_time import VirtualClock


class Machine(VirtualClock):
    """The clocks of a machine; time passes only where its process waits, or it is suspended."""

    def __init__(self) -> None:
        super().__init__()
        self.suspended_s = 0.0

    @property
    def awake_s(self) -> float:
        """Return for how long the machine was not suspended."""
        return self.elapsed_s - self.suspended_s

    def suspend(self, for_s: float) -> None:
        """Suspend the machine: nothing runs, and its steady clock stands still."""
        self.suspended_s += for_s
        self.elapsed_s += for_s
