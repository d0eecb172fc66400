"""Record of the maintenance waves on the stand-in's machines, checked by their actual states."""

import asyncio

from robinthread._internal.models.upkeep_wave import UpkeepWave


class WaveBoundError(AssertionError):
    """An upkeep started although its wave already had its maximum of machines down."""


class WaveLedger:
    """Tracks the machines that are down, from the start of their upkeep to their host's return.

    A violation is reported to the event loop's exception handler, so that a test can fail.
    """

    def __init__(self) -> None:
        self.begun: dict[int, set[str]] = {}
        self.down_peak: dict[int, int] = {}
        self.violations: list[str] = []
        self.requested: dict[int, UpkeepWave] = {}
        self._down: set[str] = set()

    def record_request(self, wave: UpkeepWave) -> None:
        """Record a wave as requested by the operators, in place of an earlier request."""
        self.requested[wave.number] = wave

    def has_begun(self, machine: str, wave: int) -> bool:
        """Tell whether a machine's upkeep for a wave has started."""
        return machine in self.begun.get(wave, ())

    def record_start(self, machine: str, number: int, holder: str) -> None:
        """Record the start of an upkeep, and a violation if it exceeds its wave's limit."""
        self.begun.setdefault(number, set()).add(machine)
        wave = self.requested.get(number)
        members = self.begun[number] if wave is None else set(wave.machines)
        down = len(self._down & members)
        self._down.add(machine)
        self.down_peak[number] = max(down + 1, self.down_peak.get(number, 0))
        if wave is not None and down >= wave.at_once_max:
            self._report_violation(f"{machine} by {holder}: {down} of wave {number} are down")

    def record_return(self, machine: str) -> None:
        """Record that a machine's host is up again, or that the machine is in the reserve."""
        self._down.discard(machine)

    def _report_violation(self, text: str) -> None:
        loop = asyncio.get_running_loop()
        self.violations.append(f"{loop.time():.3f} s: {text}")
        error = WaveBoundError(self.violations[-1])
        loop.call_exception_handler(
            {"message": "wave exceeds its limit of machines", "exception": error}
        )
