"""Allocation of the upkeep slots of maintenance waves within one plan."""

from collections.abc import Sequence

from robinthread._internal.fleet.fleet_view import WaveView


class UpkeepSlots:
    """Allocates each slot once, among the reserve, the pools and all waves.

    Waves that are short of time take machines from pools and from the reserve in the same plan.
    When each of the two could use all free slots, one plan started the upkeep of 7 machines
    where 4 may be down.  A machine takes a slot in every wave that contains it, since no wave may
    have more machines down than its bound, even if the upkeep is for another wave.
    """

    def __init__(self, waves: Sequence[WaveView]) -> None:
        self._waves = waves
        self._down = {wave.number: set(wave.down) for wave in waves}
        self._counted = {wave.number: set(wave.down | wave.unsettled) for wave in waves}

    def allocate(self, machine: str) -> bool:
        """Allocate the slots for a machine's upkeep in all of its waves, or none; tell whether.

        A machine whose upkeep may have started already is counted, and its order takes the slot
        that is counted for it.
        """
        waves = [wave for wave in self._waves if machine in wave.machines]
        if not all(self._has_slot(wave, machine) for wave in waves):
            return False
        for wave in waves:
            self._down[wave.number].add(machine)
            self._counted[wave.number].add(machine)
        return True

    def _has_slot(self, wave: WaveView, machine: str) -> bool:
        counted = self._counted[wave.number]
        is_counted = machine in counted or len(counted) < wave.at_once_max
        return is_counted and len(self._down[wave.number] - {machine}) < wave.at_once_max
