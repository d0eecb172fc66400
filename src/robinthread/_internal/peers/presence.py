"""Liveness of daemons: heartbeats, evictions, and data halls cut off or reconnected."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import Final

from robinthread._internal.fold.kinds.daemon_left import DaemonLeft
from robinthread._internal.fold.kinds.hall_cut import HallCut
from robinthread._internal.fold.kinds.hall_healed import HallHealed
from robinthread._internal.models.daemon_member import DaemonMember
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.peers.messages import Goodbye, Heartbeat
from robinthread._internal.peers.router import PeerRouter, Sender
from robinthread._internal.settings.peer_settings import PeerSettings
from robinthread._internal.utils.rendezvous import pick_by_rendezvous

# A member's eviction timeout doubles with each of its evictions, at most this many times.
EVICTION_DOUBLINGS_MAX: Final = 5


@dataclass(frozen=True)
class PresenceContext:
    """Functions and values of the daemon that ``Presence`` uses.

    ``publish`` appends a record and ignores the outcome, since every daemon reads it
    from the log.  ``get_digest`` returns the offset of the last state digest and the
    digest; ``check_digest`` compares a peer's digest with the local one.
    """

    name: str
    hall: str
    get_incarnation: Callable[[], str]
    get_state: Callable[[], FleetState]
    is_fresh: Callable[[], bool]
    publish: Callable[[object], Awaitable[None]]
    get_digest: Callable[[], tuple[int, str]]
    check_digest: Callable[[str, int, str], None]


class Presence:
    """Send heartbeats and detect silent daemons and data halls.

    A daemon sends heartbeats to each daemon of its own data hall and to one daemon of
    every other hall in rotation, so the number of messages across halls grows with the
    number of halls, not of daemons.  Safety does not depend on this failure detection:
    claims are fenced by the order of the log and calls to workers by fencing tokens.
    """

    def __init__(
        self, context: PresenceContext, settings: PeerSettings, router: PeerRouter
    ) -> None:
        self._context = context
        self._settings = settings
        self._router = router
        self._last_frame_at_s: dict[str, float] = {}
        self._hall_last_frame_at_s: dict[str, float] = {}
        self._silent_halls_by_peer: dict[str, tuple[str, ...]] = {}
        self._evictions: Counter[str] = Counter()
        self._applied_offsets: dict[str, int] = {}
        self._rotation = itertools.count()
        router.on_notice(Heartbeat, self._on_heartbeat)
        router.on_notice(Goodbye, self._on_goodbye)
        router.on_frame(self._record_frame)

    def is_reachable(self, member: DaemonMember) -> bool:
        """Return whether a frame came recently from ``member`` or, in another hall, from its hall.

        Always true for this daemon itself.
        """
        if member.name == self._context.name:
            return True
        if member.hall == self._context.hall:
            return self._get_silence_s(member) < self._settings.silent_after_s
        return not self.is_hall_silent(member.hall)

    def is_hall_silent(self, hall: str) -> bool:
        """Return whether no frame came from ``hall`` for ``hall_silent_after_s``.

        False for this daemon's own hall.
        """
        if hall == self._context.hall:
            return False
        return self._get_hall_silence_s(hall) >= self._settings.hall_silent_after_s

    def get_offsets(self) -> dict[str, int]:
        """Return the applied log offset by daemon, as reported in heartbeats."""
        return dict(self._applied_offsets)

    async def run(self) -> None:
        """Send heartbeats and check for silence until cancelled."""
        self._start_silence_timers()
        rounds_per_hall_heartbeat = max(
            1, round(self._settings.hall_heartbeat_s / self._settings.heartbeat_s)
        )
        for round_number in itertools.count():
            self._send_hall_heartbeats()
            if round_number % rounds_per_hall_heartbeat == 0:
                self._send_cross_hall_heartbeats()
            if self._context.is_fresh():
                await self._check_silence()
            await asyncio.sleep(self._settings.heartbeat_s)

    def send_goodbyes(self) -> None:
        """Notify the other daemons of this hall that this daemon is shutting down as planned."""
        for member in self._iter_hall_peers():
            self._router.send_notice(member.peer_address, Goodbye(self._context.get_incarnation()))

    def _start_silence_timers(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for member in self._context.get_state().daemons.values():
            self._last_frame_at_s.setdefault(member.name, now_s)
            self._hall_last_frame_at_s.setdefault(member.hall, now_s)

    def _send_hall_heartbeats(self) -> None:
        heartbeat = self._make_heartbeat()
        for member in self._iter_hall_peers():
            self._router.send_notice(member.peer_address, heartbeat)

    def _send_cross_hall_heartbeats(self) -> None:
        heartbeat = self._make_heartbeat()
        turn = next(self._rotation)
        for hall in self._list_other_halls():
            members = tuple(self._context.get_state().iter_hall_daemons(hall))
            self._router.send_notice(members[turn % len(members)].peer_address, heartbeat)

    def _make_heartbeat(self) -> Heartbeat:
        digest_offset, digest = self._context.get_digest()
        return Heartbeat(
            self._context.get_state().next_offset,
            tuple(hall for hall in self._list_other_halls() if self.is_hall_silent(hall)),
            digest,
            digest_offset,
        )

    async def _check_silence(self) -> None:
        for member in tuple(self._iter_hall_peers()):
            doublings = min(self._evictions[member.name], EVICTION_DOUBLINGS_MAX)
            if self._get_silence_s(member) >= self._settings.evict_after_s * 2**doublings:
                self._evictions[member.name] += 1
                self._router.fail_pending_requests(member.peer_address)
                await self._context.publish(DaemonLeft(member.name, member.incarnation))
        if self._is_hall_leader():
            await self._check_halls()

    async def _check_halls(self) -> None:
        state = self._context.get_state()
        for hall in self._list_other_halls():
            is_silent = self.is_hall_silent(hall) and all(
                hall in self._silent_halls_by_peer.get(peer.name, ())
                for peer in self._iter_hall_peers()
            )
            if is_silent and hall not in state.cut_halls:
                await self._context.publish(HallCut(hall))
            if hall in state.cut_halls and not self.is_hall_silent(hall):
                await self._context.publish(HallHealed(hall))

    def _is_hall_leader(self) -> bool:
        peer_names = [member.name for member in self._iter_hall_peers()]
        leader = pick_by_rendezvous(self._context.hall, [self._context.name, *peer_names])
        return leader == self._context.name

    def _iter_hall_peers(self) -> Iterator[DaemonMember]:
        return (
            member
            for member in self._context.get_state().iter_hall_daemons(self._context.hall)
            if member.name != self._context.name
        )

    def _list_other_halls(self) -> tuple[str, ...]:
        halls = {member.hall for member in self._context.get_state().daemons.values()}
        return tuple(sorted(halls - {self._context.hall}))

    def _get_silence_s(self, member: DaemonMember) -> float:
        now_s = asyncio.get_running_loop().time()
        return now_s - self._last_frame_at_s.setdefault(member.name, now_s)

    def _get_hall_silence_s(self, hall: str) -> float:
        now_s = asyncio.get_running_loop().time()
        return now_s - self._hall_last_frame_at_s.setdefault(hall, now_s)

    def _record_frame(self, name: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self._last_frame_at_s[name] = now_s
        member = self._context.get_state().daemons.get(name)
        if member is not None:
            self._hall_last_frame_at_s[member.hall] = now_s

    def _on_heartbeat(self, sender: Sender, heartbeat: Heartbeat) -> None:
        self._applied_offsets[sender.name] = heartbeat.next_offset
        self._silent_halls_by_peer[sender.name] = heartbeat.silent_halls
        self._context.check_digest(sender.name, heartbeat.digest_offset, heartbeat.digest)

    def _on_goodbye(self, sender: Sender, goodbye: Goodbye) -> None:
        self._router.fail_pending_requests(sender.address)
