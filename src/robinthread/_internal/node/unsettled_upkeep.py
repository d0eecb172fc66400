"""Upkeep that an earlier steward ordered, and that may yet begin."""

import math
from collections.abc import Mapping
from typing import Final

from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.node.pool_runtime import get_loop_s

# How long after it was given an order without an answer may still be carried out: the
# platform has been seen to take 2 to 12 s.
ORDER_DELAY_MAX_S: Final = 12.0
# How long a steward that was replaced may be frozen and go on then: ten times as long as one
# that is awake goes on without hearing of it.
PREVIOUS_STEWARD_FROZEN_MAX_S: Final = 60.0


class UnsettledUpkeep:
    """Machines, by the wave that their upkeep was ordered for, whose orders are not settled.

    Each counts as down: with orders carried out 5 s late, a wave that allows 2 machines had 4
    down as its steward was replaced.  An order is settled once the machine's upkeep is known to
    have begun, or once this steward has ordered the same.  Those of a steward that has ended are
    settled after ``ORDER_DELAY_MAX_S`` as well; one that may be frozen can send its orders for
    ``PREVIOUS_STEWARD_FROZEN_MAX_S`` longer.
    """

    def __init__(self) -> None:
        self._wave_by_machine: dict[str, int] = {}
        self._until_s = math.inf

    def load(self, wave_by_machine: Mapping[str, int], has_previous_steward_ended: bool) -> None:
        """Take in the upkeep that the last steward ordered and that is not known to have begun."""
        self._wave_by_machine = dict(wave_by_machine)
        frozen_s = 0.0 if has_previous_steward_ended else PREVIOUS_STEWARD_FROZEN_MAX_S
        self._until_s = get_loop_s() + ORDER_DELAY_MAX_S + frozen_s

    def settle(self, machine: str) -> None:
        """Note that this steward's order for a machine was carried out."""
        self._wave_by_machine.pop(machine, None)

    def record_listing(self, machines: Mapping[str, Machine]) -> None:
        """Take in a list of machines: upkeep that it shows has begun."""
        self._wave_by_machine = {
            machine: wave
            for machine, wave in self._wave_by_machine.items()
            if machine in machines and machines[machine].state is not MachineState.UPKEEP
        }

    def get_waves(self) -> Mapping[str, int]:
        """Return the machines, and the wave of each."""
        if get_loop_s() >= self._until_s:
            self._wave_by_machine = {}
        return self._wave_by_machine
