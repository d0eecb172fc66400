"""Which node owns which pool."""

import asyncio
import math
import zlib
from collections import Counter
from collections.abc import Collection, Mapping
from typing import Final

import msgspec

from robinthread._internal.durable.errors import StoreError
from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.durable.store import Store
from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.node.owner_checks import OwnerChecks
from robinthread._internal.settings.policy_settings import OwnerPolicy
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.rendezvous import get_rendezvous_weight

GROUP: Final = "robinthread"
# Only members that hold a partition are listed.  A topic has as few as twelve, and each is
# dealt by itself among the members that joined with it: where all join with the same ones,
# some never hold any (6 of 37 with eight topics).  So each node joins with one topic, at
# first one of these,
FIRST_TOPICS: Final = 8
# and where it is not listed with the one that follows so many later; the store has room for
# 100 topics in all.
TOPICS_MAX: Final = 64
# How long a node may be missing from the list before it joins with another topic: a
# partition passes on when its holder has joined twice.
UNLISTED_MAX_S: Final = 1.0
# The pool of no hosts whose owner gives all orders for machines.
FLEET: Final = "fleet/machines"
# A member that has said nothing for so long is taken as gone.
MEMBER_TTL_S: Final = 1.0
# How often a member says that it lives: three times within its time to live.
JOIN_PERIOD_S: Final = 0.3
# How often a member tries whom the store does not serve.
REJOIN_PERIOD_S: Final = 0.1
# After so many failures in a row, over so long, the store does not serve this node: one
# answer may be lost, and a node that is turned away fails many times in a moment.
FAILURES_MIN: Final = 2
FAILING_MIN_S: Final = 0.2
# How long the members must have been seen without a gap before one counts as missing.
SETTLE_S: Final = 0.6


class Election:
    """Keeps this node a member and tells which pools it should take.

    The platform's group tells who lives; ownership itself is one record a pool,
    taken under a condition, so a wrong guess here costs time and no safety.
    ``is_taking`` is false once this node stops: nobody here would own what it took.
    """

    def __init__(
        self,
        store: Store,
        table: OwnerTable,
        me: Member,
        config_holder: ConfigHolder,
        events: EventLog,
        ttl_min_ms: int,
        policy: OwnerPolicy,
        checks: OwnerChecks,
    ) -> None:
        self._store = store
        self._table = table
        self._me = me
        self._config_holder = config_holder
        self._events = events
        self._policy = policy
        self._checks = checks
        self._topic = zlib.crc32(me.node.encode()) % FIRST_TOPICS
        self._unlisted_since_s = math.inf
        self._ttl_ms = max(ttl_min_ms, int(MEMBER_TTL_S * 1000))
        self._name = msgspec.json.encode(me).decode()
        self._generation = 0
        self._is_stale = True
        self._members: frozenset[Member] = frozenset()
        self._members_read_at_s = -math.inf
        self._is_listed: bool | None = None
        self._steady_since_s = math.inf
        self.last_join_at_s = -math.inf
        self._failure_count = 0
        self._failing_since_s = math.inf
        self._turn = asyncio.Lock()
        self.is_taking = True
        self.is_leaving = False

    async def run(self) -> None:
        """Stay a member until cancelled or left."""
        while not self.is_leaving:
            try:
                async with self._turn:
                    await self._join()
            except StoreError as error:
                if self._steady_since_s != math.inf:
                    self._events.write("membership_lost", error=f"{type(error).__name__}: {error}")
                self._steady_since_s = math.inf
                self._checks.clear()
                self._unlisted_since_s = math.inf
                self._is_stale = True
                self._failure_count += 1
                now_s = asyncio.get_running_loop().time()
                self._failing_since_s = min(self._failing_since_s, now_s)
            await asyncio.sleep(REJOIN_PERIOD_S if self._failure_count else JOIN_PERIOD_S)

    async def leave(self) -> None:
        """Stop being a member; a join under way must not follow."""
        self.is_taking = False
        self.is_leaving = True
        async with self._turn:
            await self._store.leave(GROUP, self._name)

    @property
    def members(self) -> frozenset[Member]:
        """Return the members as last heard."""
        return self._members

    @property
    def is_cut_off(self) -> bool:
        """Tell whether the store does not serve this node."""
        failing_s = asyncio.get_running_loop().time() - self._failing_since_s
        return self._failure_count >= FAILURES_MIN and failing_s >= FAILING_MIN_S

    @property
    def is_member(self) -> bool:
        """Tell whether the store has heard this node within its time to live."""
        return not self.is_leaving and self.get_silence_s() < self._ttl_ms / 1000

    @property
    def may_take(self) -> bool:
        """Tell whether the store serves this node and it is to stay."""
        return not self._failure_count and self.is_taking and self._is_settled()

    def get_silence_s(self) -> float:
        """Return for how long the store has not answered this node."""
        return asyncio.get_running_loop().time() - self.last_join_at_s

    def get_missing_s(self, pool: str) -> float | None:
        """Return for how long a pool's last owner was no member; None where it was one."""
        previous = self._table.previous.get(pool)
        return None if previous is None else self._checks.get_missing_s(previous.owner)

    def is_living(self, member: Member) -> bool:
        """Tell whether a process is a member now."""
        return member in self._members

    def get_pools_to_take(self) -> list[str]:
        """Return the pools that have no living owner and that this node is to take."""
        config = self._config_holder.config
        if config is None or not self.is_taking or self._steady_since_s == math.inf:
            return []
        if not self._is_settled() or self._is_stale:
            # What it took now, others would take from it: they do not see it.
            return self._get_former_pools()
        living = self._members | {self._me}
        loads = Counter(
            found.owner
            for pool in self._table.owners
            if (found := self._table.get(pool)) is not None and found.owner in living
        )
        pools = []
        wanted = sorted([*config.pools, FLEET])
        self._checks.keep_only(
            found.owner for pool in wanted if (found := self._table.get(pool)) is not None
        )
        for pool in wanted:
            if not self._is_free(pool):
                continue
            # One that gave the pool back is stopping, or could not serve it.
            released = self._table.owners.get(pool)
            candidates = living - {released.owner} if released is not None else living
            best = self._choose_owner(pool, candidates or living, loads)
            loads[best] += 1
            if best == self._me:
                pools.append(pool)
        return pools

    def _choose_owner(
        self, pool: str, members: Collection[Member], loads: Mapping[Member, int]
    ) -> Member:
        """Return the member that would have the least load for its capacity with the pool."""

        def rank(member: Member) -> tuple[float, bytes]:
            capacity = member.capacity_millicores if self._policy.weighs_capacity else 1
            return (loads[member] + 1) / capacity, get_rendezvous_weight(pool, member.node)

        return min(sorted(members), key=rank)

    def _is_settled(self) -> bool:
        """Tell whether the members have been heard for a while without a gap."""
        return asyncio.get_running_loop().time() - self._steady_since_s >= SETTLE_S

    def _get_former_pools(self) -> list[str]:
        """Return the pools of this node's former life: that one has surely ended."""
        return [
            pool
            for pool in self._table.owners
            if (found := self._table.get(pool)) is not None
            and found.owner.node == self._me.node
            and found.owner != self._me
        ]

    def _is_free(self, pool: str) -> bool:
        found = self._table.get(pool)
        if found is None:
            return True
        owner = found.owner
        if owner in self._members or owner == self._me:
            self._checks.note_listed(owner)
            return False
        if any(member.node == owner.node for member in self._members | {self._me}):
            # The same node has begun another life, so the old one has ended.
            return True
        if self._checks.get_missing_s(owner) is None:
            self._note_missing(pool, owner)
        return self._checks.is_gone(owner)

    async def _join(self) -> None:
        if self.is_leaving:
            return
        membership = await self._store.join(
            GROUP, self._name, [get_topic(self._topic)], self._ttl_ms, self._generation
        )
        now_s = asyncio.get_running_loop().time()
        self.last_join_at_s = now_s
        self._failure_count = 0
        self._failing_since_s = math.inf
        if self._steady_since_s == math.inf:
            self._steady_since_s = now_s
        is_changed = membership.generation != self._generation
        if is_changed or self._is_stale or self._checks.is_any_missing:
            self._generation = membership.generation
            self._members = await self._list_members()
            self._members_read_at_s = asyncio.get_running_loop().time()
            self._is_stale = self._me not in self._members
            self._note_listed(not self._is_stale)
        self._change_topic_if_unlisted(now_s)

    def _change_topic_if_unlisted(self, now_s: float) -> None:
        """Join with another topic from now on where this one's partitions are all taken."""
        if not self._is_stale:
            self._unlisted_since_s = math.inf
            return
        self._unlisted_since_s = min(self._unlisted_since_s, now_s)
        if now_s - self._unlisted_since_s >= UNLISTED_MAX_S:
            self._unlisted_since_s = math.inf
            self._topic = (self._topic + FIRST_TOPICS) % TOPICS_MAX

    def _note_listed(self, is_listed: bool) -> None:
        """Write whether the store lists this member, where that has changed."""
        if is_listed != self._is_listed:
            self._is_listed = is_listed
            self._events.write(
                "member_listed" if is_listed else "member_unlisted",
                generation=self._generation,
                listed_count=len(self._members),
                topic=self._topic,
            )

    def _note_missing(self, pool: str, owner: Member) -> None:
        now_s = asyncio.get_running_loop().time()
        self._events.write(
            "owner_missing",
            pool=pool,
            owner=owner.node,
            since_s=round(now_s - self._members_read_at_s, 3),
            generation=self._generation,
            listed_count=len(self._members),
        )

    async def _list_members(self) -> frozenset[Member]:
        names = await self._store.list_members(GROUP)
        return frozenset(msgspec.json.decode(name, type=Member) for name in names)


def get_topic(number: int) -> str:
    """Return the name of a topic whose holders are members."""
    return f"robinthread.members.{number}"
