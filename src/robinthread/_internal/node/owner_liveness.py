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
ANSWER_COUNTS_S: Final = 2 * MISSING_CONFIRM_S
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


class _Word(Enum):
    """What came of asking an owner."""

    LIVES = auto()
    # It did not answer, or answered that the store does not.
    IS_SILENT = auto()
    # Another process has its address.
    HAS_ENDED = auto()


@dataclass
class _Absence:
    """An owner that is missing; ``word`` is the last one that was had since.

    ``patience_s`` is how much longer than the first ones this node waits before it asks.
    """

    since_s: float
    patience_s: float = 0.0
    word: _Word | None = None
    heard_at_s: float = 0.0
    lives_until_s: float = 0.0

    def note(self, word: _Word, now_s: float) -> None:
        """Note what came of asking the owner."""
        self.word, self.heard_at_s = word, now_s
        if word is _Word.LIVES:
            self.lives_until_s = now_s + ANSWER_COUNTS_S

    def is_silent(self, now_s: float) -> bool:
        """Tell whether the owner was asked of late and did not say that it lives."""
        is_recent = now_s - self.heard_at_s < ANSWER_COUNTS_S
        return self.word is _Word.IS_SILENT and is_recent and now_s >= self.lives_until_s


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
        return any(listed_for_s >= absence.patience_s for absence in self._absences.values())

    async def run(self) -> None:
        """Ask the owners that are missing until cancelled."""
        async with asyncio.TaskGroup() as asking:
            while True:
                owner, absence = await self._added.get()
                asking.create_task(self._keep_asking(owner, absence))

    def is_confirmed_lost(self, owner: Member, rank: int = 0) -> bool:
        """Note that an owner is not listed, and tell whether it is gone.

        ``rank`` counts the nodes that would take a pool of it before this one.
        """
        now_s = asyncio.get_running_loop().time()
        absence = self._absences.get(owner)
        if absence is None:
            absence = self._absences[owner] = _Absence(now_s)
            self._added.put_nowait((owner, absence))
        absence.patience_s = rank // QUERIERS_PER_STAGE * STAGE_DELAY_S
        if absence.word is _Word.HAS_ENDED:
            return True
        return now_s - absence.since_s >= MISSING_CONFIRM_S and absence.is_silent(now_s)

    def has_ended(self, owner: Member) -> bool:
        """Tell whether another life answers where an owner was that is missing."""
        absence = self._absences.get(owner)
        return absence is not None and absence.word is _Word.HAS_ENDED

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

    async def _keep_asking(self, owner: Member, absence: _Absence) -> None:
        """Ask an owner time and again until it is not missing any more, or has ended."""
        loop = asyncio.get_running_loop()
        late_s, from_s = 0.0, absence.since_s
        while self._absences.get(owner) is absence and absence.word is not _Word.HAS_ENDED:
            # The patience may change meanwhile.
            if loop.time() < from_s + absence.patience_s:
                await asyncio.sleep(TICK_S)
                continue
            began_at_s = from_s = loop.time()
            # What the loop was late the last time is added: one that always is late must
            # come to an end too.
            word, late_s = await self._ask(owner, MISSING_CONFIRM_S + late_s)
            if word is not None:
                absence.note(word, loop.time())
                await asyncio.sleep(max(0.0, began_at_s + MISSING_CONFIRM_S - loop.time()))

    async def _ask(self, owner: Member, timeout_s: float) -> tuple[_Word | None, float]:
        """Return what came of asking an owner, None for nothing, and how late the loop ran.

        Nothing follows from an answer that did not come while the own loop could not read it.
        """
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        asking = asyncio.ensure_future(
            self._peers.send_request(
                owner.address, StoreStatusRequest(), StoreStatusResponse, timeout_s
            )
        )
        late_s = await _measure_late_s(asking)
        try:
            return _read_answer(owner, asking.result()), late_s
        except PeerUnreachableError:
            took_s = loop.time() - began_at_s
            was_told = took_s < timeout_s - TICK_S
            was_on_time = took_s - late_s >= MISSING_CONFIRM_S - LATE_MAX_S
            return _Word.IS_SILENT if was_told or was_on_time else None, late_s


def _read_answer(owner: Member, answer: StoreStatusResponse) -> _Word:
    # A node of an older version does not tell its life.
    if answer.incarnation and answer.incarnation != owner.incarnation:
        return _Word.HAS_ENDED
    return _Word.LIVES if answer.incarnation and answer.is_member else _Word.IS_SILENT


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
