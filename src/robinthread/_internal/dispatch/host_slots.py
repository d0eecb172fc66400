"""Slots of one host, as its dispatcher counts them."""

from collections.abc import Iterable, Iterator
from dataclasses import replace

from robinthread._internal.dispatch.host_health import HostHealth
from robinthread._internal.dispatch.slot_lease import SlotLease
from robinthread._internal.models.host import Host
from robinthread._internal.models.urgency import Urgency


class HostSlots:
    """Leases and slots in use on a host.

    ``unattributed`` counts slots in use without a lease of this dispatcher: those
    that an earlier dispatcher granted, and those of lost tasks that may still run.
    It drops as holders release slots or as reports show fewer slots in use.
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
        """Return the number of slots in use."""
        return len(self.leases) + self.unattributed

    @property
    def limit(self) -> int:
        """Return the number of slots that may be in use at once."""
        return min(self.host.slots, self.host.connections)

    def has_capacity(self) -> bool:
        """Return whether a slot is free and the host may get new work."""
        return self.is_counted and self.host.is_serving and self.in_use < self.limit

    def release(self, lease_id: str) -> SlotLease | None:
        """Remove a lease and return it.

        Returns None for a lease of an earlier dispatcher, whose slot is freed as well.
        """
        lease = self.leases.pop(lease_id, None)
        if lease is None and self.unattributed:
            self.unattributed -= 1
        return lease

    def add_unattributed(self) -> None:
        """Count a slot whose task may still run as in use until reports show it free."""
        self.unattributed += 1

    def mark_preempted(self, lease_id: str) -> None:
        """Mark a lease whose holder was requested to checkpoint or stop its task."""
        self.leases[lease_id] = replace(self.leases[lease_id], is_preempted=True)

    def reconcile(self, reported: int, now_s: float) -> list[SlotLease]:
        """Free slots that two consecutive reports do not confirm; return their leases.

        ``reported`` is the worker's number of slots in use.  A release can get lost
        when the dispatcher changes or a hall is cut off.  Leases granted since the
        previous report are excluded, because their tasks may not have arrived yet.
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
    """Return the next lease to preempt and its host, or None if there is none."""
    return min(_iter_preemptible(hosts), key=_get_preemption_order, default=None)


def _iter_preemptible(hosts: Iterable[HostSlots]) -> Iterator[tuple[HostSlots, SlotLease]]:
    return (
        (slots, lease)
        for slots in hosts
        for lease in slots.leases.values()
        if lease.urgency != Urgency.URGENT and not lease.is_preempted
    )


def _get_preemption_order(victim: tuple[HostSlots, SlotLease]) -> tuple[bool, int, float]:
    """Order leases for preemption: repeatable, then least urgent, then granted last."""
    _, lease = victim
    return (not lease.is_repeatable, -lease.urgency, -lease.granted_at_s)
