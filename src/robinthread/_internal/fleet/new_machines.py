"""Machines that came up recently and are not yet reported by their pool's owner."""

from collections.abc import Container, Iterable
from typing import Final

from robinthread._internal.models.machine import Machine, MachineState

# A new machine should appear in its pool's report within this time: its host writes an entry to
# the store, and the pool's owner polls the entry and the host for the first time.
FIRST_REPORT_MAX_S: Final = 3.0


class NewMachines:
    """Distinguishes machines that have just come up from machines whose host is lost.

    Both are up in the list of machines, while their pool's owner reports no host of theirs.  A
    machine is not new if its owner has reported its host, or if the host was up in the first
    list of machines, except if an order shortly before that list may just have brought it up.
    """

    def __init__(self) -> None:
        self._has_listing = False
        self._known_hosts: set[str] = set()
        self._new_since_s: dict[tuple[str, str], float] = {}

    def record_listing(self, machines: Iterable[Machine], ordered: Container[str]) -> None:
        """Process a list of machines; those in ``ordered`` may just have come up."""
        incarnations = {(machine.name, machine.host_id): machine for machine in machines}
        if not self._has_listing:
            self._has_listing = True
            self._known_hosts = {
                machine.host_id
                for machine in incarnations.values()
                if machine.state is MachineState.UP and machine.name not in ordered
            }
        # Machines of the reserve are up without a host, so their host id is "".
        self._known_hosts &= {host_id for _name, host_id in incarnations if host_id}
        self._new_since_s = {
            incarnation: since_s
            for incarnation, since_s in self._new_since_s.items()
            if incarnation in incarnations
        }

    def record_reported_hosts(self, host_ids: Iterable[str]) -> None:
        """Record the hosts that a pool's owner reports."""
        self._known_hosts.update(host_ids)

    def is_reported(self, machine: Machine) -> bool:
        """Tell whether a machine's host was reported by an owner or was up in the first list."""
        return machine.host_id in self._known_hosts

    def is_new(self, machine: Machine, now_s: float) -> bool:
        """Tell whether a machine is up and its host may still be reported in time."""
        if machine.state is not MachineState.UP or machine.host_id in self._known_hosts:
            return False
        since_s = self._new_since_s.setdefault((machine.name, machine.host_id), now_s)
        return now_s - since_s < FIRST_REPORT_MAX_S
