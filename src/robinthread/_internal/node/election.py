"""Decides which pools this node should acquire."""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Final

from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.owner_liveness import OwnerLiveness
from robinthread._internal.settings.policy_settings import OwnerPolicy
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.rendezvous import get_rendezvous_weight

# A pool without hosts: its owner is the steward, which gives all orders for machines.
FLEET_POOL: Final = "fleet/machines"


class Election:
    """Selects the pools that this node should acquire.

    The group membership shows which nodes are alive.  Ownership itself is one record per pool
    that is written conditionally, so a wrong guess here costs time but not safety.
    ``is_acquiring`` is false once this node stops, because it would not open the pool.
    ``is_able`` returns whether this node can own pools as well as others.  A free pool is acquired
    even if not, and then handed over, because all nodes rank the same candidates.
    """

    def __init__(
        self,
        table: OwnerTable,
        me: Member,
        member: GroupMember,
        owner_liveness: OwnerLiveness,
        config_holder: ConfigHolder,
        events: EventLog,
        policy: OwnerPolicy,
        is_able: Callable[[], bool] = lambda: True,
    ) -> None:
        self._table = table
        self._me = me
        self._member = member
        self._owner_liveness = owner_liveness
        self._config_holder = config_holder
        self._events = events
        self._policy = policy
        self._is_able = is_able
        self.is_acquiring = True

    @property
    def may_acquire(self) -> bool:
        """Tell whether this node may take pools over from live owners.

        It must be served, settled, not stopping and able to own pools.
        """
        may_own = self.is_acquiring and self._is_able()
        return self._member.is_served and may_own and self._member.is_settled

    def get_missing_s(self, pool: str) -> float | None:
        """Return for how long a pool's last owner has been missing; None if it is not missing."""
        previous = self._table.previous.get(pool)
        return None if previous is None else self._owner_liveness.get_missing_s(previous.owner)

    def has_ended(self, pool: str) -> bool:
        """Tell whether another incarnation responds at the address of a pool's last owner."""
        previous = self._table.previous.get(pool)
        return previous is not None and self._owner_liveness.has_ended(previous.owner)

    def get_pools_to_acquire(self) -> list[str]:
        """Return the pools without a live owner that this node should acquire."""
        if not self.is_acquiring or not self._member.is_served:
            return []
        if not self._member.is_settled or not self._member.is_listed:
            # Other nodes do not see this node in the list and would replace it as an owner at once.
            return self._get_pools_of_previous_incarnation()
        wanted = sorted(self._list_pools())
        self._owner_liveness.retain_only(
            found.owner for pool in wanted if (found := self._table.get(pool)) is not None
        )
        live_members = self._member.members | {self._me}
        loads = Counter(
            found.owner
            for pool in self._table.owners
            if (found := self._table.get(pool)) is not None and found.owner in live_members
        )
        rankings = self._rank_candidates(
            filter(self._is_owner_unlisted, wanted), live_members, loads
        )
        lost_owners = self._find_lost_owners(rankings)
        return [
            pool
            for pool, ranking in rankings.items()
            if ranking[0] == self._me and self._has_no_owner(pool, lost_owners)
        ]

    def _list_pools(self) -> set[str]:
        """List the configured pools or, before a configuration is read, those ever owned.

        All nodes rank the same candidates, so a pool whose first candidate waited for the
        configuration would have no owner until then.  Jobs carry the policy that they need.
        """
        config = self._config_holder.config
        if config is None:
            return set(self._table.owners)
        return {*config.pools, FLEET_POOL}

    def get_restarted_owners(self) -> dict[str, Member]:
        """Return, by pool, the newer listed incarnation of its owner's node.

        After a stop of all nodes each previous owner acquires its pool again by a conditional
        write that only one node at a time can complete, so the first writer records the
        incarnations of the other nodes too.  With store latencies of 0.24 s, five pools opened
        2.0 s after the start instead of 4.3 s.
        """
        members = self._member.members
        newest = sorted(members, key=lambda member: member.started_at_ms)
        newest_by_node = {member.node: member for member in newest}
        restarted = {
            pool: newest_by_node[found.owner.node]
            for pool in self._table.owners
            if (found := self._table.get(pool)) is not None
            and found.owner.node in newest_by_node
            and found.owner.node != self._me.node
            and found.owner not in members
            and 0 < found.owner.started_at_ms < newest_by_node[found.owner.node].started_at_ms
        }
        return restarted | dict.fromkeys(self._get_pools_of_previous_incarnation(), self._me)

    def _rank_candidates(
        self, pools: Iterable[str], live_members: Collection[Member], loads: Counter[Member]
    ) -> dict[str, list[Member]]:
        """Rank, for each pool, the members that may acquire it; the first one should do so.

        All nodes with the same list of members rank them alike, whatever ownership they have read.
        """
        rankings = {}
        for pool in pools:
            # A node that released the pool is stopping or failed to open it.
            released = self._table.owners.get(pool)
            candidates = (
                set(live_members) - {released.owner} if released is not None else live_members
            )
            rankings[pool] = self._rank_members(pool, candidates or live_members, loads)
            loads[rankings[pool][0]] += 1
        return rankings

    def _rank_members(
        self, pool: str, members: Collection[Member], loads: Mapping[Member, int]
    ) -> list[Member]:
        """Rank members by the load relative to their capacity that the pool would give them."""

        def rank(member: Member) -> tuple[float, bytes]:
            capacity = member.capacity_millicores if self._policy.weighs_capacity else 1
            return (loads[member] + 1) / capacity, get_rendezvous_weight(pool, member.node)

        return sorted(sorted(members), key=rank)

    def _find_lost_owners(self, rankings: Mapping[str, Sequence[Member]]) -> frozenset[Member]:
        """Log owners that are newly missing, and return those that are confirmed lost."""
        ranks: dict[Member, int] = {}
        for pool, ranking in rankings.items():
            found = self._table.get(pool)
            if found is not None and found.owner.node != self._me.node:
                rank = ranking.index(self._me) if self._me in ranking else len(ranking)
                if (
                    found.owner not in ranks
                    and self._owner_liveness.get_missing_s(found.owner) is None
                ):
                    self._log_missing(pool, found.owner)
                ranks[found.owner] = min(rank, ranks.get(found.owner, rank))
        is_confirmed_lost = self._owner_liveness.is_confirmed_lost
        return frozenset(owner for owner, rank in ranks.items() if is_confirmed_lost(owner, rank))

    def _get_pools_of_previous_incarnation(self) -> list[str]:
        """Return the pools of this node's previous incarnation, which has certainly ended."""
        return [
            pool
            for pool in self._table.owners
            if (found := self._table.get(pool)) is not None
            and found.owner.node == self._me.node
            and found.owner != self._me
        ]

    def _is_owner_unlisted(self, pool: str) -> bool:
        """Tell whether a pool has no owner among the listed members."""
        found = self._table.get(pool)
        if found is None:
            return True
        if found.owner in self._member.members or found.owner == self._me:
            self._owner_liveness.record_listing(found.owner)
            return False
        return True

    def _has_no_owner(self, pool: str, lost_owners: Collection[Member]) -> bool:
        """Tell whether a pool whose owner is not listed has certainly lost that owner."""
        found = self._table.get(pool)
        # This node has restarted, so its previous incarnation has ended.  For another node the
        # list is no proof: the incarnation that it names may be the previous one.
        return found is None or found.owner.node == self._me.node or found.owner in lost_owners

    def _log_missing(self, pool: str, owner: Member) -> None:
        now_s = asyncio.get_running_loop().time()
        self._events.write(
            "owner_missing",
            pool=pool,
            owner=owner.node,
            since_s=round(now_s - self._member.listed_at_s, 3),
            generation=self._member.generation,
            listed_count=len(self._member.members),
        )
