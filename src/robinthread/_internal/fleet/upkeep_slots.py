"""The places that maintenance waves have for upkeep within one plan."""

from collections.abc import Sequence

from robinthread._internal.fleet.fleet_view import WaveView


class UpkeepSlots:
    """Gives each place away once, whoever asks: the reserve, pools, or another wave.

    The load that this answers: waves that are short of time, which take machines from pools and
    the reserve in one look at the fleet.  Where both were given all free places, one look
    began 7 where 4 may be down.  A machine takes a place in every wave that it is in, for none
    of these may have more down than its bound, whatever the upkeep is for.
    """

    def __init__(self, waves: Sequence[WaveView]) -> None:
        self._waves = waves
        self._down = {wave.number: set(wave.down) for wave in waves}
        self._counted = {wave.number: set(wave.down | wave.unsettled) for wave in waves}

    def allocate(self, machine: str) -> bool:
        """Take the places for a machine's upkeep; return False, and take none, where one lacks.

        What may have begun already is counted, and takes the place of its own order.
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
