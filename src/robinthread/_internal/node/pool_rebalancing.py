"""Passing pools to nodes that have more room for them."""

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice
from typing import Final

from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.node.election import Election
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.handover import Handover
from robinthread._internal.node.loop_lag import LAG_MAX_S, LoopLag
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.settings.policy_settings import OwnerPolicy

# What a node may have that is to take a pool, as a share of the bound.
NEW_OWNER_LAG_SHARE: Final = 0.5
# A node passes a pool on that is crowded where another's load would be so much smaller.
CROWDED_SHARE: Final = 0.75
# For how long a node must have been crowded or late.
CONFIRM_S: Final = 0.5
# Least time between two times that a node passes pools on.  A pool stands still for some
# 0.1 s each time.
PAUSE_S: Final = 3.0
# The same while the loop runs late: all that waits there waits for long.
LATE_PAUSE_S: Final = 0.3
# How many nodes are asked in turn whether they have room: one that is out of reach takes
# 0.4 s, in which this node takes no pool.
CANDIDATES_QUERIED_MAX: Final = 3


@dataclass(frozen=True)
class PoolTransfer:
    """A pool to pass on, who should take it, and why."""

    new_owner: Member
    pool: str
    reason: str


class RebalancePlanner:
    """Decides when a node passes pools on, and to whom.

    It does so where its loop runs late, for its processor is slow or it owns too much, and
    where another node could carry one of its pools more easily.  No pool goes to a node
    that would have more to carry for its capacity, so that none goes to and fro.
    """

    def __init__(
        self,
        me: Member,
        table: OwnerTable,
        election: Election,
        member: GroupMember,
        handover: Handover,
        owned: OwnedPools,
        lag: LoopLag,
        policy: OwnerPolicy,
    ) -> None:
        self._me = me
        self._table = table
        self._election = election
        self._member = member
        self._handover = handover
        self._owned = owned
        self._lag = lag
        self._policy = policy
        self._imbalanced_since_s: float | None = None
        self._paused_until_s = 0.0

    async def plan_transfer(self) -> PoolTransfer | None:
        """Return what to pass on now, if anything."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._paused_until_s or not self._election.may_acquire:
            return None
        is_late = self._policy.relieves_late_nodes and self._lag.lag_s > LAG_MAX_S
        loads = self._count_loads()
        candidates = self._list_candidates(loads, 1.0 if is_late else CROWDED_SHARE)
        if not candidates or not (is_late or self._policy.spreads_pools):
            self._imbalanced_since_s = None
            return None
        if self._imbalanced_since_s is None:
            self._imbalanced_since_s = now_s
        if now_s - self._imbalanced_since_s < CONFIRM_S:
            return None
        return await self._choose(candidates, is_late)

    def record_transfer(self) -> None:
        """Note that a pool has been passed on: no more for a while."""
        self._imbalanced_since_s = None
        pause_s = LATE_PAUSE_S if self._lag.lag_s > LAG_MAX_S else PAUSE_S
        self._paused_until_s = asyncio.get_running_loop().time() + pause_s

    async def _choose(self, candidates: Iterable[Member], is_late: bool) -> PoolTransfer | None:
        pools = self._list_transferable()
        if not pools:
            return None
        for candidate in islice(candidates, CANDIDATES_QUERIED_MAX):
            response = await self._handover.query_store_status(candidate)
            if response.is_served and response.lag_s <= NEW_OWNER_LAG_SHARE * LAG_MAX_S:
                reason = f"the loop is {self._lag.lag_s:.3f} s late" if is_late else "crowded"
                return PoolTransfer(candidate, pools[0], reason)
        return None

    def _list_transferable(self) -> tuple[str, ...]:
        """List what may be passed on.

        Where a host with runs does not answer, they run elsewhere once its lease is over:
        the next owner would count that lease from its own beginning, 4.2 s more.
        """
        return tuple(
            pool
            for pool, found in sorted(self._table.owners.items())
            if found.owner == self._me and not found.is_released and not self._has_silent_runs(pool)
        )

    def _has_silent_runs(self, pool: str) -> bool:
        owner = self._owned.owners.get(pool)
        return owner is not None and owner.jobs.has_silent_runs()

    def _count_loads(self) -> Counter[Member]:
        return Counter(
            found.owner for found in self._table.owners.values() if not found.is_released
        )

    def _list_candidates(self, loads: Counter[Member], share: float) -> list[Member]:
        """Return the others that would carry less than this node does, the idlest first."""
        load_max = share * loads[self._me] / self._me.capacity_millicores
        ranked = sorted(
            ((loads[member] + 1) / member.capacity_millicores, member)
            for member in self._member.members - {self._me}
        )
        return [member for load, member in ranked if load <= load_max]
