"""Liveness queries to pool owners that the store does not list as members."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

from robinthread._internal.durable.ownership import Member
from robinthread._internal.node.peer_calls import PeerCalls, PeerUnreachableError
from robinthread._internal.node.peer_messages import StoreStatusRequest, StoreStatusResponse

# An owner must be missing from the list of members for this long: a live one may hold no
# partition for a moment while partitions move between members.  This is also its response time.
MISSING_CONFIRM_S: Final = 0.25
# The result of a query is valid for this long.  Meanwhile the owner is queried again, once every
# ``MISSING_CONFIRM_S``.
RESULT_VALID_S: Final = 2 * MISSING_CONFIRM_S
# A missing response counts only if this node's event loop was late by no more than this during
# the wait.  The rest of the wait is three times the 50 ms that a peer at a fifth of the usual
# speed needs.
LATE_MAX_S: Final = 0.1
# Interval at which the lateness of the event loop is measured.  Shorter stalls are not detected.
TICK_S: Final = 0.05
# Number of nodes per stage that query a missing owner, in the order in which they would acquire
# its pool.  One of them is to acquire it, and nodes may see different members.  When all of 37
# nodes queried, a live owner got 144 queries a second and the members were listed 122 times.
QUERIERS_PER_STAGE: Final = 3
# Each further stage of nodes queries later and less often by this delay, in case the nodes of
# the stages before it do not see each other.  It is half of a takeover, which takes about 2 s.
STAGE_DELAY_S: Final = 1.0


class _QueryResult(Enum):
    """Result of a liveness query to an owner."""

    ALIVE = auto()
    # The owner did not respond, or responded that the store does not serve it.
    UNCONFIRMED = auto()
    # Another incarnation responded at the owner's address.
    ENDED = auto()


@dataclass
class _Absence:
    """Absence of an owner from the list of members, with the last query result since then.

    ``delay_s`` is the stage delay of this node's queries; 0 for the nodes of the first stage.
    """

    since_s: float
    delay_s: float = 0.0
    query_result: _QueryResult | None = None
    result_at_s: float = 0.0
    alive_until_s: float = 0.0

    def record_result(self, query_result: _QueryResult, now_s: float) -> None:
        """Record the result of a query to the owner."""
        self.query_result, self.result_at_s = query_result, now_s
        if query_result is _QueryResult.ALIVE:
            self.alive_until_s = now_s + RESULT_VALID_S

    def is_unconfirmed(self, now_s: float) -> bool:
        """Return whether a recent query failed and no earlier confirmation is still valid."""
        is_recent = now_s - self.result_at_s < RESULT_VALID_S
        return (
            self.query_result is _QueryResult.UNCONFIRMED
            and is_recent
            and now_s >= self.alive_until_s
        )


class OwnerLiveness:
    """Monitors owners that are missing from the list of members by querying them directly.

    The store lists only members that hold a partition, and a live member may hold none.  An
    owner is confirmed lost once it has been missing for ``MISSING_CONFIRM_S`` and a query since
    then did not confirm that the store serves it.  The queries run during that time, one task
    per owner, so they add no delay.  An owner is confirmed lost at once if another incarnation
    responds at its address.
    """

    def __init__(self, peers: PeerCalls) -> None:
        self._peers = peers
        self._absences: dict[Member, _Absence] = {}
        self._added: asyncio.Queue[tuple[Member, _Absence]] = asyncio.Queue()

    def is_list_due(self, listed_at_s: float) -> bool:
        """Return whether the members, last listed at ``listed_at_s``, must be listed again.

        This is so if an owner is missing and the list is older than this node's stage delay.
        """
        listed_for_s = asyncio.get_running_loop().time() - listed_at_s
        return any(listed_for_s >= absence.delay_s for absence in self._absences.values())

    async def run(self) -> None:
        """Query missing owners until cancelled."""
        # After a failure no query is under way, so owners count as missing from now on again.
        self.clear()
        async with asyncio.TaskGroup() as queries:
            while True:
                owner, absence = await self._added.get()
                queries.create_task(self._query_repeatedly(owner, absence))

    def is_confirmed_lost(self, owner: Member, rank: int = 0) -> bool:
        """Record that an owner is not listed, and return whether it is confirmed lost.

        ``rank`` is the number of nodes that would acquire one of its pools before this one.
        """
        now_s = asyncio.get_running_loop().time()
        absence = self._absences.get(owner)
        if absence is None:
            absence = self._absences[owner] = _Absence(now_s)
            self._added.put_nowait((owner, absence))
        absence.delay_s = rank // QUERIERS_PER_STAGE * STAGE_DELAY_S
        if absence.query_result is _QueryResult.ENDED:
            return True
        return now_s - absence.since_s >= MISSING_CONFIRM_S and absence.is_unconfirmed(now_s)

    def has_ended(self, owner: Member) -> bool:
        """Return whether another incarnation responds at a missing owner's address."""
        absence = self._absences.get(owner)
        return absence is not None and absence.query_result is _QueryResult.ENDED

    def get_missing_s(self, owner: Member) -> float | None:
        """Return for how many seconds an owner has been missing; None if it is listed."""
        absence = self._absences.get(owner)
        return None if absence is None else asyncio.get_running_loop().time() - absence.since_s

    def record_listing(self, owner: Member) -> None:
        """Record that an owner is listed, which ends its absence."""
        self._absences.pop(owner, None)

    def retain_only(self, owners: Iterable[Member]) -> None:
        """Drop the absences of members that no longer own a pool."""
        for member in self._absences.keys() - set(owners):
            del self._absences[member]

    def clear(self) -> None:
        """Drop all absences, because the list of members was not read without a gap."""
        self._absences.clear()

    async def _query_repeatedly(self, owner: Member, absence: _Absence) -> None:
        """Query an owner repeatedly until its absence is over or it has ended."""
        loop = asyncio.get_running_loop()
        late_s, last_query_at_s = 0.0, absence.since_s
        while (
            self._absences.get(owner) is absence and absence.query_result is not _QueryResult.ENDED
        ):
            # The delay changes with this node's rank, so it is checked every ``TICK_S``.
            if loop.time() < last_query_at_s + absence.delay_s:
                await asyncio.sleep(TICK_S)
                continue
            began_at_s = last_query_at_s = loop.time()
            # The lateness of the last query extends the timeout, so that a node whose loop is
            # always late also gets a result.
            query_result, late_s = await self._query(owner, MISSING_CONFIRM_S + late_s)
            if query_result is not None:
                absence.record_result(query_result, loop.time())
                await asyncio.sleep(max(0.0, began_at_s + MISSING_CONFIRM_S - loop.time()))

    async def _query(self, owner: Member, timeout_s: float) -> tuple[_QueryResult | None, float]:
        """Query an owner once; return the result and the lateness of the event loop in seconds.

        The result is None if the query timed out while the loop was too late to read a response.
        """
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        query = asyncio.ensure_future(
            self._peers.send_request(
                owner.address, StoreStatusRequest(), StoreStatusResponse, timeout_s
            )
        )
        late_s = await _measure_late_s(query)
        try:
            return _read_response(owner, query.result()), late_s
        except PeerUnreachableError:
            took_s = loop.time() - began_at_s
            has_failed_early = took_s < timeout_s - TICK_S
            was_on_time = took_s - late_s >= MISSING_CONFIRM_S - LATE_MAX_S
            return _QueryResult.UNCONFIRMED if has_failed_early or was_on_time else None, late_s


def _read_response(owner: Member, response: StoreStatusResponse) -> _QueryResult:
    # A node of an older version does not send its incarnation.
    if response.incarnation and response.incarnation != owner.incarnation:
        return _QueryResult.ENDED
    return (
        _QueryResult.ALIVE
        if response.incarnation and response.is_member
        else _QueryResult.UNCONFIRMED
    )


async def _measure_late_s(work: asyncio.Future[StoreStatusResponse]) -> float:
    """Wait for ``work``; return the total lateness of the loop's timers meanwhile, in seconds."""
    loop = asyncio.get_running_loop()
    late_s = 0.0
    try:
        while not work.done():
            due_s = loop.time() + TICK_S
            await asyncio.wait({work}, timeout=TICK_S)
            late_s += max(0.0, loop.time() - due_s)
    finally:
        work.cancel()
    return late_s
