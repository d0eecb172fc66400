"""The steward's log lines on what is left in evacuated data halls."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass

from robinthread._internal.fleet.fleet_view import FleetView
from robinthread._internal.models.machine import Machine
from robinthread._internal.telemetry.event_log import EventLog


@dataclass(frozen=True, slots=True)
class HallRemainder:
    """What is left in an evacuated hall.

    ``host_count`` machines are in pools or on their way into one.  Of these, ``busy_count`` have
    the ``run_count`` runs that the pools' owners report, ``lasting_count`` of lasting tasks, and
    ``unusable_count`` are not known to respond.  ``reserve_count`` machines are in the reserve.
    ``due_count`` machines, in pools or in the reserve, are due for upkeep.
    """

    host_count: int
    busy_count: int
    run_count: int
    lasting_count: int
    unusable_count: int
    reserve_count: int
    due_count: int


class EvacuationReporter:
    """Logs what is left in each evacuated hall when that changes, and when no host is left."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._logged: dict[str, HallRemainder] = {}

    def report(self, view: FleetView, machines: Mapping[str, Machine]) -> None:
        """Log the halls whose remainder differs from the last one that was logged."""
        remainders = {
            hall: count_remainder(hall, view, machines) for hall in sorted(view.evacuated_halls)
        }
        for hall, remainder in remainders.items():
            before = self._logged.get(hall)
            if remainder == before:
                continue
            self._events.gather("hall_evacuating", by={"hall": hall}, **asdict(remainder))
            if not remainder.host_count and (before is None or before.host_count):
                self._events.write(
                    "hall_evacuated", hall=hall, reserve_count=remainder.reserve_count
                )
        self._logged = remainders


def count_remainder(hall: str, view: FleetView, machines: Mapping[str, Machine]) -> HallRemainder:
    """Count what is left in a hall, by the last machine list and the owners' reports."""
    in_hall = {name: machine for name, machine in machines.items() if machine.hall == hall}
    in_pools = {name for name, machine in in_hall.items() if machine.pool != view.reserve_pool}
    arriving = {machine.name for pool in view.pools for machine in pool.arriving}
    hosts = [host for pool in view.pools for host in pool.hosts if host.machine in in_pools]
    usable_count = sum(host.is_usable for host in hosts)
    pending = frozenset().union(*(wave.pending for wave in view.waves))
    return HallRemainder(
        host_count=len(in_pools | (arriving & in_hall.keys())),
        busy_count=sum(host.run_count > 0 for host in hosts),
        run_count=sum(host.run_count for host in hosts),
        lasting_count=sum(host.lasting_count for host in hosts),
        unusable_count=len(in_pools) - usable_count,
        reserve_count=len(in_hall) - len(in_pools),
        due_count=len(pending & in_hall.keys()),
    )
