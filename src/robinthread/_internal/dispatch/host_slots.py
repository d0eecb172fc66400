"""Slots of one host as its dispatcher accounts for them."""

from collections.abc import Iterable, Iterator
from dataclasses import replace

from robinthread._internal.dispatch.host_health import HostHealth
from robinthread._internal.dispatch.slot_lease import SlotLease
from robinthread._internal.models.host import Host
from robinthread._internal.models.urgency import Urgency


class HostSlots:
    """Leases out on a host.

    ``unattributed`` counts slots in use that an earlier dispatcher granted;
    they free themselves as their holders release them or reports shrink.
    """

    def __init__(self, host: Host, health: HostHealth) -> None:
        self.host = host
        self.health = health
        self.leases: dict[str, SlotLease] = {}
        self.unattributed = 0
        self.is_counted = False
        self._previous_surplus = 0
        self._reported_at_s = -1e9

    @property
    def in_use(self) -> int:
        """Return the slots that are taken."""
        return len(self.leases) + self.unattributed

    @property
    def limit(self) -> int:
        """Return the slots that may be taken at once."""
        return min(self.host.slots, self.host.connections)

    def has_capacity(self) -> bool:
        """Tell whether a slot is free and the host may get new work."""
        return self.is_counted and self.host.is_serving and self.in_use < self.limit

    def release(self, lease_id: str) -> SlotLease | None:
        """Give back a lease, or a slot granted by an earlier dispatcher."""
        lease = self.leases.pop(lease_id, None)
        if lease is None and self.unattributed:
            self.unattributed -= 1
        return lease

    def add_unattributed(self) -> None:
        """Count a slot as taken whose task may still run, until a report says otherwise."""
        self.unattributed += 1

    def mark_preempted(self, lease_id: str) -> None:
        """Note that a lease's holder was asked to end its task."""
        self.leases[lease_id] = replace(self.leases[lease_id], is_preempted=True)

    def reconcile(self, reported: int, now_s: float) -> list[SlotLease]:
        """Free slots that two reports on end did not bear out; return their leases.

        A release is lost where its dispatcher changed or a hall was cut off.
        Leases granted since the report before are left alone: their tasks may
        be on their way.
        """
        settled = [
            lease for lease in self.leases.values() if lease.granted_at_s < self._reported_at_s
        ]
        surplus = max(0, self.unattributed + len(settled) - reported)
        to_free = min(surplus, self._previous_surplus)
        self._previous_surplus = surplus - to_free
        self._reported_at_s = now_s
        from_unattributed = min(self.unattributed, to_free)
        self.unattributed -= from_unattributed
        freed = sorted(settled, key=_get_grant_time)[: to_free - from_unattributed]
        for lease in freed:
            del self.leases[lease.id]
        return freed


def _get_grant_time(lease: SlotLease) -> float:
    return lease.granted_at_s


def pick_victim(hosts: Iterable[HostSlots]) -> tuple[HostSlots, SlotLease] | None:
    """Return the lease that is to give way next and its host, if there is any."""
    return min(_iter_preemptible(hosts), key=_get_preemption_order, default=None)


def _iter_preemptible(hosts: Iterable[HostSlots]) -> Iterator[tuple[HostSlots, SlotLease]]:
    return (
        (slots, lease)
        for slots in hosts
        for lease in slots.leases.values()
        if lease.urgency != Urgency.URGENT and not lease.is_preempted
    )


def _get_preemption_order(victim: tuple[HostSlots, SlotLease]) -> tuple[bool, int, float]:
    """Order leases: what may be repeated, is least urgent and started last gives way first."""
    _, lease = victim
    return (not lease.is_repeatable, -lease.urgency, -lease.granted_at_s)
