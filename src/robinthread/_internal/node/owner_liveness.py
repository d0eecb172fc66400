"""Asking owners that the store does not list whether they live."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

from robinthread._internal.durable.ownership import Member
from robinthread._internal.node.peer_calls import PeerCalls, PeerUnreachableError
from robinthread._internal.node.peer_messages import StoreStatusRequest, StoreStatusResponse

# How long an owner must be missing from the members: while partitions pass from
# one member to another, a living one may hold none for a moment.  It has as long to answer.
MISSING_CONFIRM_S: Final = 0.25
# How long the word of an owner counts that the store answers it.  It is asked again
# meanwhile, once for each time that an answer may take.
RESULT_VALID_S: Final = 2 * MISSING_CONFIRM_S
# By how much the own loop may run late while an answer is waited for, so that silence still
# counts: what is left is three times the 50 ms that a peer needs that runs five times slower.
LATE_MAX_S: Final = 0.1
# How often it is looked whether the loop runs late: a stall below that is not seen.
TICK_S: Final = 0.05
# So many nodes ask at once whether a missing owner lives, those that would take its pool
# first: one is to take it, and nodes may differ in whom they see.  With all of 37 asking, a
# living owner was asked 144 times a second, and the members were listed 122 times.
QUERIERS_PER_STAGE: Final = 3
# Each further such number of nodes asks so much later and more rarely, in case that those
# before it do not know of each other: a takeover takes some 2 s, so half of that.
STAGE_DELAY_S: Final = 1.0


class _QueryResult(Enum):
    """What came of asking an owner."""

    ALIVE = auto()
    # It did not answer, or answered that the store does not.
    UNCONFIRMED = auto()
    # Another process has its address.
    ENDED = auto()


@dataclass
class _Absence:
    """An owner that is missing; ``query_result`` is the last one that was had since.

    ``delay_s`` is how much longer than the first ones this node waits before it asks.
    """

    since_s: float
    delay_s: float = 0.0
    query_result: _QueryResult | None = None
    result_at_s: float = 0.0
    alive_until_s: float = 0.0

    def record_result(self, query_result: _QueryResult, now_s: float) -> None:
        """Note what came of asking the owner."""
        self.query_result, self.result_at_s = query_result, now_s
        if query_result is _QueryResult.ALIVE:
            self.alive_until_s = now_s + RESULT_VALID_S

    def is_unconfirmed(self, now_s: float) -> bool:
        """Tell whether the owner was asked of late and did not say that it lives."""
        is_recent = now_s - self.result_at_s < RESULT_VALID_S
        return (
            self.query_result is _QueryResult.UNCONFIRMED
            and is_recent
            and now_s >= self.alive_until_s
        )


class OwnerLiveness:
    """Owners that are missing from the members, and what they say themselves.

    The store lists only the members that hold a partition; one that lives may hold none.
    An owner is gone that has been missing for a while, was asked since it is missing and
    did not say that the store answers it.  Each is asked by itself while its absence is
    confirmed, so that delays nothing.  Where another life answers, it is gone at once.
    """

    def __init__(self, peers: PeerCalls) -> None:
        self._peers = peers
        self._absences: dict[Member, _Absence] = {}
        self._added: asyncio.Queue[tuple[Member, _Absence]] = asyncio.Queue()

    def is_list_due(self, listed_at_s: float) -> bool:
        """Tell whether members listed last at a moment are to be listed for missing owners."""
        listed_for_s = asyncio.get_running_loop().time() - listed_at_s
        return any(listed_for_s >= absence.delay_s for absence in self._absences.values())

    async def run(self) -> None:
        """Ask the owners that are missing until cancelled."""
        async with asyncio.TaskGroup() as queries:
            while True:
                owner, absence = await self._added.get()
                queries.create_task(self._query_repeatedly(owner, absence))

    def is_confirmed_lost(self, owner: Member, rank: int = 0) -> bool:
        """Note that an owner is not listed, and tell whether it is gone.

        ``rank`` counts the nodes that would take a pool of it before this one.
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
        """Tell whether another life answers where an owner was that is missing."""
        absence = self._absences.get(owner)
        return absence is not None and absence.query_result is _QueryResult.ENDED

    def get_missing_s(self, owner: Member) -> float | None:
        """Return for how long an owner has been missing; None where it was listed."""
        absence = self._absences.get(owner)
        return None if absence is None else asyncio.get_running_loop().time() - absence.since_s

    def record_listing(self, owner: Member) -> None:
        """Note that an owner is listed."""
        self._absences.pop(owner, None)

    def retain_only(self, owners: Iterable[Member]) -> None:
        """Forget the members that own nothing any more."""
        for gone in self._absences.keys() - set(owners):
            del self._absences[gone]

    def clear(self) -> None:
        """Forget all absences: the members have not been seen without a gap."""
        self._absences.clear()

    async def _query_repeatedly(self, owner: Member, absence: _Absence) -> None:
        """Ask an owner time and again until it is not missing any more, or has ended."""
        loop = asyncio.get_running_loop()
        late_s, last_query_at_s = 0.0, absence.since_s
        while (
            self._absences.get(owner) is absence and absence.query_result is not _QueryResult.ENDED
        ):
            # The patience may change meanwhile.
            if loop.time() < last_query_at_s + absence.delay_s:
                await asyncio.sleep(TICK_S)
                continue
            began_at_s = last_query_at_s = loop.time()
            # What the loop was late the last time is added: one that always is late must
            # come to an end too.
            query_result, late_s = await self._query(owner, MISSING_CONFIRM_S + late_s)
            if query_result is not None:
                absence.record_result(query_result, loop.time())
                await asyncio.sleep(max(0.0, began_at_s + MISSING_CONFIRM_S - loop.time()))

    async def _query(self, owner: Member, timeout_s: float) -> tuple[_QueryResult | None, float]:
        """Return what came of asking an owner, None for nothing, and how late the loop ran.

        Nothing follows from an answer that did not come while the own loop could not read it.
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
    # A node of an older version does not tell its life.
    if response.incarnation and response.incarnation != owner.incarnation:
        return _QueryResult.ENDED
    return (
        _QueryResult.ALIVE
        if response.incarnation and response.is_member
        else _QueryResult.UNCONFIRMED
    )


async def _measure_late_s(work: asyncio.Future[StoreStatusResponse]) -> float:
    """Wait for some work; return how late the loop came back to what was due meanwhile."""
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
