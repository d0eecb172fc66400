"""Machines that are up so newly that their pool has not heard of them."""

from collections.abc import Container, Iterable
from typing import Final

from robinthread._internal.models.machine import Machine, MachineState

# How long a machine that is up may take to show in its pool: an entry in the store
# and a first look at it.
FIRST_REPORT_MAX_S: Final = 3.0


class NewMachines:
    """Tells the machines that have just come up from those whose host is lost.

    Both are up in the list of machines, and their pool names no host of theirs.  A host is no
    newcomer once its pool has named it, nor where it was up in the first list of machines:
    it was there before.  What was ordered shortly before the first list may just have come up.
    """

    def __init__(self) -> None:
        self._has_listing = False
        self._known_hosts: set[str] = set()
        self._new_since_s: dict[tuple[str, str], float] = {}

    def record_listing(self, machines: Iterable[Machine], ordered: Container[str]) -> None:
        """Take in a list of machines; ``ordered`` are those that may just have come up."""
        incarnations = {(machine.name, machine.host_id): machine for machine in machines}
        if not self._has_listing:
            self._has_listing = True
            self._known_hosts = {
                machine.host_id
                for machine in incarnations.values()
                if machine.state is MachineState.UP and machine.name not in ordered
            }
        # The reserve's machines are up without a host.
        self._known_hosts &= {host_id for _name, host_id in incarnations if host_id}
        self._new_since_s = {
            incarnation: since_s
            for incarnation, since_s in self._new_since_s.items()
            if incarnation in incarnations
        }

    def record_reported_hosts(self, host_ids: Iterable[str]) -> None:
        """Note which hosts a pool's owner names."""
        self._known_hosts.update(host_ids)

    def is_reported(self, machine: Machine) -> bool:
        """Tell whether a pool has named a machine's host, or was to have before this steward."""
        return machine.host_id in self._known_hosts

    def is_new(self, machine: Machine, now_s: float) -> bool:
        """Tell whether a machine is up so newly that its pool has not heard of it."""
        if machine.state is not MachineState.UP or machine.host_id in self._known_hosts:
            return False
        since_s = self._new_since_s.setdefault((machine.name, machine.host_id), now_s)
        return now_s - since_s < FIRST_REPORT_MAX_S
