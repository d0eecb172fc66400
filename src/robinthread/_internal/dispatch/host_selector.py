"""Selection of the host that gets the next task of a pool."""

import asyncio
from typing import Final

from robinthread._internal.dispatch.host_slots import HostSlots
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.peers.messages import SlotRequest
from robinthread._internal.settings.dispatch_settings import DispatchSettings

LEAVING_PHASES: Final = (HostPhase.PERMITTED, HostPhase.DRAINING, HostPhase.LEAVING)


class HostSelector:
    """Select hosts by their health, by planned waves and by their load."""

    def __init__(self, hosts: dict[str, HostSlots], settings: DispatchSettings) -> None:
        self._hosts = hosts
        self._settings = settings
        self._steered_since_s: dict[str, float] = {}
        self._leaving_rank: dict[str, int] = {}
        self._done_hosts: frozenset[str] = frozenset()

    def steer(self, names: tuple[str, ...], order: tuple[str, ...], done: frozenset[str]) -> None:
        """Steer new work away from the hosts ``names`` while other hosts have free slots.

        ``order`` is the order in which hosts are to leave: work that must go to one
        of them goes to the last.  Hosts in ``done`` are preferred, so that work moves
        at most once.
        """
        now_s = asyncio.get_running_loop().time()
        leaving = [
            name for name, slots in self._hosts.items() if slots.host.phase in LEAVING_PHASES
        ]
        self._steered_since_s = {
            name: self._steered_since_s.get(name, now_s) for name in (*names, *leaving)
        }
        self._leaving_rank = {name: -rank for rank, name in enumerate(order)}
        self._done_hosts = done

    def is_steered(self, name: str) -> bool:
        """Return whether new work is steered away from a host."""
        return name in self._steered_since_s

    def get_steered_s(self, name: str) -> float:
        """Return for how many seconds new work has been steered away from a host, else 0."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self._steered_since_s.get(name, now_s)

    def count_idle_slots(self) -> int:
        """Return the number of free slots on hosts that may get work."""
        now_s = asyncio.get_running_loop().time()
        return sum(
            slots.limit - slots.in_use
            for slots in self._hosts.values()
            if slots.has_capacity() and not slots.health.is_suspended(now_s)
        )

    def pick(self, request: SlotRequest) -> HostSlots | None:
        """Return the best host for a request, or None if no host may take it now.

        A host that the request avoids is returned only if no other host fits.
        """
        now_s = asyncio.get_running_loop().time()
        with_capacity = [slots for slots in self._hosts.values() if slots.has_capacity()]
        fit = [slots for slots in with_capacity if self._is_fit(slots, request, now_s)]
        preferred = [slots for slots in fit if slots.host.name not in request.avoid]
        return min(preferred or fit, key=self._get_preference, default=None)

    def _get_preference(self, slots: HostSlots) -> tuple[bool, bool, bool, int, float, str]:
        name = slots.host.name
        return (
            slots.health.has_failed and self._settings.route_by_outcome,
            name in self._steered_since_s,
            bool(self._done_hosts) and name not in self._done_hosts,
            self._leaving_rank.get(name, -len(self._leaving_rank)),
            slots.in_use / max(1, slots.limit),
            name,
        )

    def _is_fit(self, slots: HostSlots, request: SlotRequest, now_s: float) -> bool:
        health = slots.health
        if health.is_suspended(now_s):
            return False
        if not health.is_on_probation or self._is_all_on_probation():
            return True
        is_overdue = now_s > health.suspended_until_s + self._settings.suspend_max_s
        return slots.in_use == 0 and (request.is_repeatable or is_overdue)

    def _is_all_on_probation(self) -> bool:
        return all(
            slots.health.is_on_probation for slots in self._hosts.values() if slots.host.is_serving
        )
