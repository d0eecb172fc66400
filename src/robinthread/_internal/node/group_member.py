"""Membership of this node in the store's group, and the list of the other members."""

import asyncio
import math
import zlib
from typing import Final

import msgspec

from robinthread._internal.durable.append_latency import AppendLatency
from robinthread._internal.durable.errors import StoreError
from robinthread._internal.durable.ownership import Member
from robinthread._internal.durable.store import Store
from robinthread._internal.node.owner_liveness import OwnerLiveness
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.foreign_input import (
    MalformedInputError,
    decode_json,
    shorten,
)

GROUP: Final = "robinthread"
# The store lists only members that hold a partition.  A topic has as few as twelve partitions, and
# the store assigns those of each topic separately among the members that joined with it.  If all
# nodes joined with the same topics, some would never hold a partition (6 of 37 nodes with eight
# topics).  So each node joins with a single topic, at first with one of the first FIRST_TOPICS.
FIRST_TOPICS: Final = 8
# A node that is not listed moves on by FIRST_TOPICS topics.  The store allows 100 topics in all.
TOPICS_MAX: Final = 64
# Interval at which a member renews its membership by joining again.
JOIN_PERIOD_S: Final = 0.3
# A member expires when it has not joined for this long.  A node that has not been listed for as
# long joins with another topic: a partition is reassigned once its holder has joined twice.
MEMBER_TIMEOUT_MIN_S: Final = 1.0
# With a slow store, joins arrive less often, so a member expires only after it has missed this many
# joins.  With a timeout of 1 s and store latencies of 0.6 s, live members expired 11 times in 30 s.
MEMBER_TIMEOUT_JOINS: Final = 3
# Upper bound of the timeout of a member: half of the time for which an owner continues without
# the store.
MEMBER_TIMEOUT_MAX_S: Final = 3.0
# Interval between joins while the store does not serve this node.
REJOIN_PERIOD_S: Final = 0.1
# Factor by which the longest interval between joins decays with each join: a tenth remains after
# ten joins, which is about 3 s at the regular interval.
GAP_DECAY: Final = 0.8
# The store counts as not serving this node after FAILURES_MIN failures in a row that span at least
# FAILING_MIN_S: a single response may be lost, and a rejected node fails many times in a moment.
FAILURES_MIN: Final = 2
FAILING_MIN_S: Final = 0.2
# How long joins may have no response before the store counts as silent.  A slow store responds to
# them at intervals of up to 0.6 s.
SILENCE_MAX_S: Final = 1.0
# How long the member lists must have had no gap before an unlisted member counts as missing.
SETTLE_S: Final = 0.6


class GroupMember:
    """Keeps this node a member of the group; ``members`` is the last list from the store.

    ``listed_at_s`` is when the store returned that list, by the event loop's clock.
    ``is_listed`` is true if that list contains this node; other nodes do not see it otherwise.
    ``join_latency`` is the latency of its joins, which it repeats continuously.
    """

    def __init__(
        self,
        store: Store,
        me: Member,
        events: EventLog,
        ttl_min_ms: int,
        owner_liveness: OwnerLiveness,
    ) -> None:
        self._store = store
        self._me = me
        self._events = events
        self._owner_liveness = owner_liveness
        self._ttl_min_ms = ttl_min_ms
        self._name = msgspec.json.encode(me).decode()
        self._topic = zlib.crc32(me.node.encode()) % FIRST_TOPICS
        self._topic_joined_at_s = math.inf
        self._was_listed: bool | None = None
        self._join_started_at_s = -math.inf
        self._join_gap_s = 0.0
        self._list_requested = asyncio.Event()
        self._steady_since_s = math.inf
        self._joined_at_s = -math.inf
        self._failure_count = 0
        self._failing_since_s = math.inf
        self._join_lock = asyncio.Lock()
        self.join_latency = AppendLatency()
        self.generation = 0
        self.members: frozenset[Member] = frozenset()
        self.listed_at_s = -math.inf
        self.is_listed = False
        self.is_leaving = False

    async def run(self) -> None:
        """Renew the membership until cancelled or ``leave`` is called."""
        while not self.is_leaving:
            started_at_s = asyncio.get_running_loop().time()
            try:
                async with self._join_lock:
                    await self._join(started_at_s)
            except StoreError as error:
                self._record_failure(error)
            await asyncio.sleep(self._get_pause_s(started_at_s))

    async def leave(self) -> None:
        """Leave the group, once a join in progress has finished, and do not join again."""
        self.is_leaving = True
        async with self._join_lock:
            await self._store.leave(GROUP, self._name)

    @property
    def is_cut_off(self) -> bool:
        """Tell whether joins have failed often and long enough to treat this node as not served."""
        failing_s = asyncio.get_running_loop().time() - self._failing_since_s
        return self._failure_count >= FAILURES_MIN and failing_s >= FAILING_MIN_S

    @property
    def is_within_ttl(self) -> bool:
        """Tell whether this node has joined within its time to live and is not leaving."""
        return not self.is_leaving and self.get_store_silence_s() < self._get_ttl_ms() / 1000

    @property
    def is_served(self) -> bool:
        """Tell whether the last join of this node succeeded."""
        return not self._failure_count and self._steady_since_s != math.inf

    @property
    def is_store_silent(self) -> bool:
        """Tell whether joins fail or have had no response for ``SILENCE_MAX_S``."""
        return self.is_cut_off or self.get_store_silence_s() > SILENCE_MAX_S

    @property
    def is_settled(self) -> bool:
        """Tell whether this node has followed the members for SETTLE_S without a gap."""
        return asyncio.get_running_loop().time() - self._steady_since_s >= SETTLE_S

    def get_store_silence_s(self) -> float:
        """Return the seconds since the store last responded to a join of this node."""
        return asyncio.get_running_loop().time() - self._joined_at_s

    def _get_pause_s(self, started_at_s: float) -> float:
        if self._failure_count:
            return REJOIN_PERIOD_S
        return max(0.0, started_at_s + JOIN_PERIOD_S - asyncio.get_running_loop().time())

    def _get_member_timeout_s(self) -> float:
        """Return the seconds without a join after which a member expires at the current pace."""
        due_s = MEMBER_TIMEOUT_JOINS * self._join_gap_s
        return min(max(MEMBER_TIMEOUT_MIN_S, due_s), MEMBER_TIMEOUT_MAX_S)

    def _get_ttl_ms(self) -> int:
        return max(self._ttl_min_ms, int(self._get_member_timeout_s() * 1000))

    def _record_failure(self, error: StoreError) -> None:
        if self._steady_since_s != math.inf:
            self._events.write("membership_lost", error=f"{type(error).__name__}: {error}")
        self._steady_since_s = math.inf
        self._owner_liveness.clear()
        self._topic_joined_at_s = math.inf
        self.is_listed = False
        self._failure_count += 1
        now_s = asyncio.get_running_loop().time()
        self._failing_since_s = min(self._failing_since_s, now_s)

    async def _join(self, started_at_s: float) -> None:
        if self.is_leaving:
            return
        self._record_join_gap(started_at_s)
        self.join_latency.begin()
        membership = await self._store.join(
            GROUP, self._name, [get_topic(self._topic)], self._get_ttl_ms(), self.generation
        )
        self.join_latency.end()
        now_s = asyncio.get_running_loop().time()
        self._joined_at_s = now_s
        self._failure_count = 0
        self._failing_since_s = math.inf
        self._steady_since_s = min(self._steady_since_s, now_s)
        self._topic_joined_at_s = min(self._topic_joined_at_s, now_s)
        is_changed = membership.generation != self.generation
        self.generation = membership.generation
        if is_changed or not self.is_listed or self._owner_liveness.is_list_due(self.listed_at_s):
            self._list_requested.set()

    def _record_join_gap(self, started_at_s: float) -> None:
        """Record the interval between two joins; the longest one decays with each join."""
        gap_s = started_at_s - self._join_started_at_s
        if gap_s != math.inf:
            self._join_gap_s = max(gap_s, GAP_DECAY * self._join_gap_s)
        self._join_started_at_s = started_at_s

    async def run_listing(self) -> None:
        """List the members on request until cancelled.

        This is not a part of ``run``, because a slow list would delay the joins.
        """
        if self._joined_at_s != -math.inf:
            # A list that was requested before a failure may not have been read.
            self._list_requested.set()
        while not self.is_leaving:
            await self._list_requested.wait()
            self._list_requested.clear()
            try:
                await self._list_members()
            except StoreError as error:
                self._record_list_failure(error)
                await asyncio.sleep(REJOIN_PERIOD_S)

    def _record_list_failure(self, error: StoreError) -> None:
        """Record that listing the members failed, which is a gap in the observed members."""
        self._events.write("members_unread", error=f"{type(error).__name__}: {error}")
        self._owner_liveness.clear()
        if self._steady_since_s != math.inf:
            self._steady_since_s = asyncio.get_running_loop().time()
        self._list_requested.set()

    async def _list_members(self) -> None:
        requested_at_s = asyncio.get_running_loop().time()
        names = await self._store.list_members(GROUP)
        self.members = frozenset(filter(None, map(self._parse_member, names)))
        self.listed_at_s = asyncio.get_running_loop().time()
        # A list that was requested before the last failure may be out of date.
        self.is_listed = self._me in self.members and not self._failure_count
        if self.is_listed != self._was_listed:
            self._was_listed = self.is_listed
            self._events.write(
                "member_listed" if self.is_listed else "member_unlisted",
                generation=self.generation,
                listed_count=len(self.members),
                topic=self._topic,
            )
        if (
            not self.is_listed
            and requested_at_s - self._topic_joined_at_s >= self._get_member_timeout_s()
        ):
            self._change_topic()

    def _parse_member(self, name: str) -> Member | None:
        try:
            return decode_json(name, Member)
        except MalformedInputError as error:
            self._events.gather(
                "member_malformed", listed={"members": shorten(name)}, error=shorten(str(error))
            )
            return None

    def _change_topic(self) -> None:
        """Use another topic for the next joins: all partitions of this one are assigned."""
        self._topic_joined_at_s = math.inf
        self._topic = (self._topic + FIRST_TOPICS) % TOPICS_MAX


def get_topic(number: int) -> str:
    """Return the name of the topic with this number."""
    return f"robinthread.members.{number}"
