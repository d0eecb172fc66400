"""The machines of the reserve that are still free in a plan."""

from collections.abc import Callable, Iterable
from itertools import islice

from robinthread._internal.fleet.fleet_view import FleetView
from robinthread._internal.fleet.pool_report import LackReport
from robinthread._internal.models.machine import Machine
from robinthread._internal.models.resources import Resources


class Reserve:
    """The free machines, those last whose hall is silent or that are due."""

    def __init__(self, view: FleetView, pending: frozenset[str]) -> None:
        free = [machine for machine in view.reserve if machine.name not in view.ordered]
        self._free = sorted(
            free,
            key=lambda machine: (
                machine.hall in view.silent_halls,
                machine.name in pending,
                machine.name,
            ),
        )

    def take(self, count: int) -> list[str]:
        """Take up to ``count`` machines."""
        return self._take(lambda machine: True, count)

    def take_due(self, due: frozenset[str], count: int) -> list[str]:
        """Take up to ``count`` of the machines in ``due``."""
        return self._take(lambda machine: machine.name in due, count)

    def take_for(self, lacks: Iterable[LackReport], count: int) -> list[str]:
        """Take up to ``count`` machines that have what a pool lacks."""
        taken: list[str] = []
        for lack in lacks:
            wanted = min(lack.count, count - len(taken))
            taken += self._take(lambda machine, lack=lack: supplies(machine, lack), wanted)  # type: ignore[misc]
        return taken

    def _take(self, suits: Callable[[Machine], bool], count: int) -> list[str]:
        suiting = (machine.name for machine in self._free if suits(machine))
        taken = list(islice(suiting, max(0, count)))
        self._free = [machine for machine in self._free if machine.name not in taken]
        return taken


def supplies(machine: Machine, lack: LackReport) -> bool:
    """Tell whether a machine has the room and the label that a pool lacks."""
    has_label = not lack.label or lack.label in (machine.kind, machine.rack)
    return has_label and Resources(*lack.room).fits_in(machine.room)
