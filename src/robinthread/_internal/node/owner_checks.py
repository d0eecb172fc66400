"""Asking owners that the store does not list whether they live."""

import asyncio
from collections.abc import Iterable
from typing import Final

from robinthread._internal.durable.ownership import Member
from robinthread._internal.node.peer_calls import PeerCalls, PeerUnreachableError
from robinthread._internal.node.peer_messages import StoreAnswer, StoreQuestion

# How long an owner must be missing from the members: while partitions pass from
# one member to another, a living one may hold none for a moment.
MISSING_CONFIRM_S: Final = 0.25
# How long the word of an owner counts that the store answers it.  It is asked again
# meanwhile, once for each time that an answer may take.
ANSWER_COUNTS_S: Final = 2 * MISSING_CONFIRM_S


class OwnerChecks:
    """Owners that are missing from the members, and what they say themselves.

    The store lists only the members that hold a partition; one that lives may hold none.
    An owner is gone that has been missing for a while and does not say that the store
    answers it.  That is asked while the absence is confirmed, so it delays nothing.
    """

    def __init__(self, peers: PeerCalls) -> None:
        self._peers = peers
        self._missing_since_s: dict[Member, float] = {}
        self._lives_until_s: dict[Member, float] = {}
        self._added = asyncio.Event()

    @property
    def is_any_missing(self) -> bool:
        """Tell whether there are owners that are missing."""
        return bool(self._missing_since_s)

    async def run(self) -> None:
        """Ask the owners that are missing until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._added.wait()
            began_at_s = loop.time()
            await asyncio.gather(*map(self._ask, list(self._missing_since_s)))
            await asyncio.sleep(max(0.0, began_at_s + MISSING_CONFIRM_S - loop.time()))
            if not self._missing_since_s:
                self._added.clear()

    def is_gone(self, owner: Member) -> bool:
        """Note that an owner is not listed, and tell whether it is gone."""
        now_s = asyncio.get_running_loop().time()
        since_s = self._missing_since_s.setdefault(owner, now_s)
        self._added.set()
        lives = now_s < self._lives_until_s.get(owner, 0.0)
        return now_s - since_s >= MISSING_CONFIRM_S and not lives

    def get_missing_s(self, owner: Member) -> float | None:
        """Return for how long an owner has been missing; None where it was listed."""
        since_s = self._missing_since_s.get(owner)
        return None if since_s is None else asyncio.get_running_loop().time() - since_s

    def note_listed(self, owner: Member) -> None:
        """Note that an owner is listed."""
        self._missing_since_s.pop(owner, None)

    def keep_only(self, owners: Iterable[Member]) -> None:
        """Forget the members that own nothing any more."""
        kept = set(owners)
        for gone in self._missing_since_s.keys() - kept:
            del self._missing_since_s[gone]
        for gone in self._lives_until_s.keys() - kept:
            del self._lives_until_s[gone]

    def clear(self) -> None:
        """Forget all absences: the members have not been seen without a gap."""
        self._missing_since_s.clear()

    async def _ask(self, owner: Member) -> None:
        loop = asyncio.get_running_loop()
        try:
            answer = await self._peers.ask(
                owner.address, StoreQuestion(), StoreAnswer, MISSING_CONFIRM_S
            )
        except PeerUnreachableError:
            # It is taken as gone, as an owner is that answers and is no member.
            return
        if answer.is_member and answer.life == owner.life:
            self._lives_until_s[owner] = loop.time() + ANSWER_COUNTS_S
