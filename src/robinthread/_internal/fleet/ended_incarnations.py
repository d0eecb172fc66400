"""Hosts that have ended by what the lists of machines show."""

from collections.abc import Mapping
from typing import Final

from robinthread._internal.models.machine import Machine, MachineState

# How long a host that has ended is told to its pool's owner.  An owner that is lost with the
# host is replaced within some 4 s; a host that is lost is first missed some 2 s later.
REPORTED_FOR_S: Final = 12.0


class EndedIncarnations:
    """Tells which hosts have ended, each a life of a machine that an earlier list showed.

    A machine that is listed without a host, with another one, or no more has ended the one that
    it was, however silent that is.  A host that is only cut off stays listed.  Hosts that ended
    by an order, of which owners have emptied them before, are not told, nor those that are listed
    again: another life is up under their id.  Times are of any one steady clock, in seconds.
    """

    def __init__(self) -> None:
        self._listed: dict[str, Machine] = {}
        self._ended: dict[str, tuple[float, str]] = {}

    def record_listing(self, machines: Mapping[str, Machine], now_s: float) -> None:
        """Take in a list of machines."""
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
        """Return the hosts of a pool that have ended of late."""
        return tuple(
            host_id for host_id, (_at_s, ended_pool) in self._ended.items() if ended_pool == pool
        )
