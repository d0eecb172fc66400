"""What the machines' stand-in saw of maintenance waves, judged by its own truth."""

import asyncio

from robinthread._internal.models.upkeep_wave import UpkeepWave


class WaveBoundError(AssertionError):
    """An upkeep began while as many machines of its wave were down as may be."""


class WaveLedger:
    """Which machines are down for their upkeep, from its begin until their host is back.

    A broken bound is told to the event loop, so that whoever runs the loop can fail.
    """

    def __init__(self) -> None:
        self.begun: dict[int, set[str]] = {}
        self.down_peak: dict[int, int] = {}
        self.violations: list[str] = []
        self.requested: dict[int, UpkeepWave] = {}
        self._down: set[str] = set()

    def record_request(self, wave: UpkeepWave) -> None:
        """Take in a wave as the operators ask for it now."""
        self.requested[wave.number] = wave

    def has_begun(self, machine: str, wave: int) -> bool:
        """Tell whether a machine's upkeep for a wave has begun."""
        return machine in self.begun.get(wave, ())

    def record_start(self, machine: str, number: int, holder: str) -> None:
        """Take in an upkeep that begins, and judge it by all waves that the machine is in."""
        self.begun.setdefault(number, set()).add(machine)
        wave = self.requested.get(number)
        members = self.begun[number] if wave is None else set(wave.machines)
        down = len(self._down & members)
        self._down.add(machine)
        self.down_peak[number] = max(down + 1, self.down_peak.get(number, 0))
        if wave is not None and down >= wave.at_once_max:
            self._report_violation(f"{machine} by {holder}: {down} of wave {number} are down")

    def record_return(self, machine: str) -> None:
        """Take in that a machine's host is back, or that the machine has come into the reserve."""
        self._down.discard(machine)

    def _report_violation(self, text: str) -> None:
        loop = asyncio.get_running_loop()
        self.violations.append(f"{loop.time():.3f} s: {text}")
        error = WaveBoundError(self.violations[-1])
        loop.call_exception_handler({"message": "wave over its bound", "exception": error})
