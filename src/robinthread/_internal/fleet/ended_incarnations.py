"""Hosts that have ended according to the lists of machines."""

from collections.abc import Mapping
from typing import Final

from robinthread._internal.models.machine import Machine, MachineState

# How long an ended host is reported to its pool's owner.  This must exceed the time until an
# owner that is lost with the host is replaced, about 4 s, and the time until a lost host is first
# found missing, about 2 s more.
REPORTED_FOR_S: Final = 12.0


class EndedIncarnations:
    """Finds the hosts that have ended: incarnations of machines that only an earlier list shows.

    If a machine is listed without a host or with another one, or is not listed any more, its
    previous host has ended, even if nothing else indicates it.  A host that is only cut off stays
    listed.  Hosts that ended by an order are left out, since their owners have vacated them
    before, and so are hosts that are listed again, since another incarnation is up under their
    id.  Times are in seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._listed: dict[str, Machine] = {}
        self._ended: dict[str, tuple[float, str]] = {}

    def record_listing(self, machines: Mapping[str, Machine], now_s: float) -> None:
        """Compare a list of machines with the previous one."""
        for host_id, listed in self._listed.items():
            machine = machines.get(listed.name)
            if machine is None or machine.host_id != host_id:
                is_ordered = machine is not None and machine.state in (
                    MachineState.MOVING,
                    MachineState.UPKEEP,
                )
                if not is_ordered:
                    self._ended[host_id] = now_s, listed.pool
        self._listed = {
            machine.host_id: machine for machine in machines.values() if machine.host_id
        }
        self._ended = {
            host_id: (ended_s, pool)
            for host_id, (ended_s, pool) in self._ended.items()
            if now_s - ended_s < REPORTED_FOR_S and host_id not in self._listed
        }

    def list_for_pool(self, pool: str) -> tuple[str, ...]:
        """Return the ids of a pool's hosts that ended within the last ``REPORTED_FOR_S``."""
        return tuple(
            host_id for host_id, (_at_s, ended_pool) in self._ended.items() if ended_pool == pool
        )
