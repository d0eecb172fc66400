"""Rebalancing of pools: transfer from crowded or late nodes to nodes with less load."""

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

# Maximum loop lag of a node that is to acquire a pool, as a share of ``LAG_MAX_S``.
NEW_OWNER_LAG_SHARE: Final = 0.5
# A node is crowded if another node's load with one more pool would be at most this share of its
# own.
CROWDED_SHARE: Final = 0.75
# A node transfers a pool only after it has been crowded or late for this long.
CONFIRM_S: Final = 0.5
# Minimum time between two transfers from a node.  Each one stops a pool for about 0.1 s.
PAUSE_S: Final = 3.0
# The same for a node whose loop is late, where all work is delayed.
LATE_PAUSE_S: Final = 0.3
# Maximum number of candidates that are queried in turn.  An unreachable one takes 0.4 s, during
# which this node acquires no pool.
CANDIDATES_QUERIED_MAX: Final = 3


@dataclass(frozen=True)
class PoolTransfer:
    """A pool to transfer, the node that is to own it, and the reason for the log."""

    new_owner: Member
    pool: str
    reason: str


class RebalancePlanner:
    """Decides when this node transfers a pool, and to which node.

    It does so if its event loop is late, because its processor is slow or it owns too many
    pools, or if another node would have clearly less load with one more pool.  A pool never
    moves to a node that would then have more load for its capacity, so that no pool moves back
    and forth.
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
        """Return the transfer that is due now, or None."""
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
        """Record a transfer, which starts the pause before the next one."""
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
        """Return the pools that may be transferred.

        A pool with runs on a silent host is left out.  These runs are restarted elsewhere once
        the host's lease has lapsed, and a new owner would count that lease from its own start,
        which adds 4.2 s.
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
        """Return the nodes with at most ``share`` of this node's load, least loaded first.

        Their load is counted with one more pool, and all loads are relative to capacity.
        """
        load_max = share * loads[self._me] / self._me.capacity_millicores
        ranked = sorted(
            ((loads[member] + 1) / member.capacity_millicores, member)
            for member in self._member.members - {self._me}
        )
        return [member for load, member in ranked if load <= load_max]
