"""Tracks upkeep that a previous steward ordered and that may still begin."""

import math
from collections.abc import Mapping
from typing import Final

from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.node.pool_runtime import get_loop_s

# How long after an order without a response the platform may still execute it: delays of 2 to 12 s
# have been observed.
ORDER_DELAY_MAX_S: Final = 12.0
# How long a replaced steward may be suspended and then continue: ten times as long as a running one
# may continue before it learns of its replacement.
PREVIOUS_STEWARD_FROZEN_MAX_S: Final = 60.0


class UnsettledUpkeep:
    """The machines with unsettled upkeep orders of a previous steward, with the wave of each.

    Each counts as down: with orders executed 5 s late, a wave that allows 2 machines had 4
    down when its steward was replaced.  An order is settled once the machine's upkeep is known
    to have begun, or once this steward has ordered the same.  Orders of a steward that has ended
    are also settled after ``ORDER_DELAY_MAX_S``.  A steward that may be suspended can still send
    its orders for ``PREVIOUS_STEWARD_FROZEN_MAX_S`` longer.
    """

    def __init__(self) -> None:
        self._wave_by_machine: dict[str, int] = {}
        self._until_s = math.inf

    def load(self, wave_by_machine: Mapping[str, int], has_previous_steward_ended: bool) -> None:
        """Set the upkeep that the previous steward ordered and that is not known to have begun."""
        self._wave_by_machine = dict(wave_by_machine)
        frozen_s = 0.0 if has_previous_steward_ended else PREVIOUS_STEWARD_FROZEN_MAX_S
        self._until_s = get_loop_s() + ORDER_DELAY_MAX_S + frozen_s

    def settle(self, machine: str) -> None:
        """Settle a machine whose upkeep this steward's order has begun."""
        self._wave_by_machine.pop(machine, None)

    def record_listing(self, machines: Mapping[str, Machine]) -> None:
        """Settle the machines that a list shows in upkeep or no longer has."""
        self._wave_by_machine = {
            machine: wave
            for machine, wave in self._wave_by_machine.items()
            if machine in machines and machines[machine].state is not MachineState.UPKEEP
        }

    def get_waves(self) -> Mapping[str, int]:
        """Return the wave of each machine with an unsettled order."""
        if get_loop_s() >= self._until_s:
            self._wave_by_machine = {}
        return self._wave_by_machine
