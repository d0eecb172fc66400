"""The machines of the reserve that a plan may still order."""

from collections.abc import Callable, Iterable
from itertools import islice

import msgspec

from robinthread._internal.fleet.fleet_view import FleetView
from robinthread._internal.fleet.pool_report import ShortageReport
from robinthread._internal.models.machine import Machine
from robinthread._internal.models.resources import Resources


class Reserve:
    """The free machines in order of preference.

    Machines of silent halls come last, and before these the machines that are due for upkeep.
    Machines of evacuated halls go to no pool, and come first for their upkeep.
    """

    def __init__(self, view: FleetView, pending: frozenset[str]) -> None:
        self._evacuated_halls = view.evacuated_halls
        free = [machine for machine in view.reserve if machine.name not in view.ordered]
        self._free = sorted(
            free,
            key=lambda machine: (
                machine.hall in view.silent_halls,
                machine.hall not in view.evacuated_halls,
                machine.name in pending,
                machine.name,
            ),
        )

    def take(self, count: int) -> list[str]:
        """Remove up to ``count`` machines from the reserve and return their names."""
        return self._take(self._may_serve, count)

    def take_due(self, due: frozenset[str], allocate_slot: Callable[[str], bool]) -> list[str]:
        """Take the machines in ``due`` for which ``allocate_slot`` returns True."""
        return self._take(lambda machine: machine.name in due and allocate_slot(machine.name))

    def take_for(self, shortages: Iterable[ShortageReport]) -> list[str]:
        """Take machines that cover a pool's shortages, as far as the reserve has any."""
        taken: list[str] = []
        for shortage in shortages:
            taken += self._take(
                lambda machine, shortage=shortage: (  # type: ignore[misc]
                    self._may_serve(machine) and covers(machine, shortage)
                ),
                shortage.count,
            )
        return taken

    def _may_serve(self, machine: Machine) -> bool:
        return machine.hall not in self._evacuated_halls

    def _take(self, is_suitable: Callable[[Machine], bool], count: int | None = None) -> list[str]:
        matching = (machine.name for machine in self._free if is_suitable(machine))
        taken = list(matching if count is None else islice(matching, max(0, count)))
        self._free = [machine for machine in self._free if machine.name not in taken]
        return taken


def list_unmet_shortages(
    shortages: Iterable[ShortageReport], arriving: Iterable[Machine]
) -> tuple[ShortageReport, ...]:
    """Return a pool's shortages that its arriving machines do not cover.

    Each machine counts for one host of one shortage.  Shortages that the fewest machines cover
    are assigned first.
    """
    unassigned = list(arriving)
    unmet: list[ShortageReport] = []
    for shortage in sorted(
        shortages, key=lambda shortage: sum(covers(machine, shortage) for machine in unassigned)
    ):
        matching = [machine for machine in unassigned if covers(machine, shortage)][
            : shortage.count
        ]
        unassigned = [machine for machine in unassigned if machine not in matching]
        unmet.append(msgspec.structs.replace(shortage, count=shortage.count - len(matching)))
    return tuple(unmet)


def covers(machine: Machine, shortage: ShortageReport) -> bool:
    """Tell whether a machine has the capacity and the label that a pool lacks."""
    has_label = not shortage.label or shortage.label in (machine.kind, machine.rack)
    return has_label and Resources(*shortage.resources).fits_in(machine.capacity)
