"""Availability budget of a pool."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from robinthread._internal.models.host import Host


@dataclass(frozen=True, slots=True)
class Budget:
    """Minimum numbers of hosts and slots that must keep serving.

    ``per_hall_hosts`` and ``per_rack_hosts`` are minimum numbers of hosts by name of data hall
    and of rack.  A hall or rack that is not listed has no minimum of its own.
    """

    min_serving_hosts: int = 0
    min_serving_slots: int = 0
    per_hall_hosts: dict[str, int] = field(default_factory=dict)
    per_rack_hosts: dict[str, int] = field(default_factory=dict)

    def is_met_by(self, hosts: Iterable[Host]) -> bool:
        """Return whether the serving hosts among ``hosts`` meet all minimums."""
        serving = [host for host in hosts if host.is_serving]
        return (
            len(serving) >= self.min_serving_hosts
            and sum(host.slots for host in serving) >= self.min_serving_slots
            and all(
                sum(host.hall == hall for host in serving) >= floor
                for hall, floor in self.per_hall_hosts.items()
            )
            and all(
                sum(host.rack == rack for host in serving) >= floor
                for rack, floor in self.per_rack_hosts.items()
            )
        )
