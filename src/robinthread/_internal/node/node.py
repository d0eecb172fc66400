"""The main loop of a node, which acquires and releases pools."""

import asyncio
from collections.abc import Callable, Collection
from functools import partial
from typing import Final

from robinthread._internal.durable.errors import StoreError
from robinthread._internal.durable.keyed_follower import KeyedFollower
from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.durable.released_leases import ReleasedLeases
from robinthread._internal.node.context import NodeContext
from robinthread._internal.node.election import FLEET_POOL, Election
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.handover import Handover
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.pool_holds import PoolHolds
from robinthread._internal.node.pool_owner import PoolOwner
from robinthread._internal.node.pool_rebalancing import RebalancePlanner
from robinthread._internal.node.predecessors import find_predecessors
from robinthread._internal.node.steward import Steward
from robinthread._internal.node.stop_budget import StopBudget
from robinthread._internal.node.task_supervisor import TaskSupervisor
from robinthread._internal.utils.cancellation import raise_if_cancelled
from robinthread._internal.utils.error_text import describe_error
from robinthread._internal.utils.waiting import wait_for_event

MakeSteward = Callable[[int, float], Steward]

# Interval of the main loop, which also runs at each change of the owner table.
CHECK_PERIOD_S: Final = 0.2


class Node:
    """Acquires pools that have no owner, and closes those that others have acquired."""

    def __init__(
        self,
        context: NodeContext,
        me: Member,
        table: OwnerTable,
        election: Election,
        member: GroupMember,
        owned: OwnedPools,
        make_steward: MakeSteward,
        handover: Handover,
        rebalance_planner: RebalancePlanner,
        followers: tuple[KeyedFollower, ...],
        supervisor: TaskSupervisor,
    ) -> None:
        self._context = context
        self._events = context.events
        self._me = me
        self._table = table
        self._election = election
        self._member = member
        self._owned = owned
        self._make_steward = make_steward
        self._handover = handover
        self._rebalance_planner = rebalance_planner
        self._followers = followers
        self._supervisor = supervisor
        self._steward: Steward | None = None
        self._closed_tokens: dict[str, int] = {}
        self._closed_leases: dict[str, ReleasedLeases | None] = {}
        self._holds = PoolHolds(context.events)
        self.is_stopping = False

    def cancel(self) -> None:
        """Cancel everything at once, like a killed process."""
        self._supervisor.cancel()
        for owner in self._owned.owners.values():
            owner.cancel()
        if self._steward is not None:
            self._steward.cancel()

    async def run(self) -> None:
        """Run the main loop until cancelled."""
        while True:
            self._table.changed.clear()
            await self._transfer_if_unable()
            await self._drop_replaced()
            await self._rebalance()
            await self._release_closed()
            self._open_acquired_pools()
            self._switch_followers()
            await self._acquire_free_pools()
            await wait_for_event(self._table.changed, CHECK_PERIOD_S)

    async def stop(self, budget: StopBudget) -> None:
        """Stop all orders, then release all pools so that other nodes can acquire them at once."""
        self.is_stopping = True
        self._election.is_acquiring = False
        owners, self._owned.owners = self._owned.owners, {}
        if await budget.run("orders", self._stop_orders(owners.values())):
            leases = {pool: owner.released_leases for pool, owner in owners.items()}
            release = self._table.release([*owners, FLEET_POOL], self._me, True, leases)
            await budget.run("release", release)
        await budget.run("leave", self._member.leave())

    async def _stop_orders(self, owners: Collection[PoolOwner]) -> None:
        if self._steward is not None:
            self._steward.fenced.set()
            await self._steward.stop()
        await asyncio.gather(*(owner.stop(is_planned=True) for owner in owners))

    async def _transfer_if_unable(self) -> None:
        """Transfer all pools while other nodes can own them but this one cannot.

        Their owners stop first, so the next owners need not wait for their orders.
        """
        served, reason = self._handover.served, self._handover.find_inability()
        if not reason or not served or not (self._owned.owners or self._steward is not None):
            return
        pools = [*self._owned.owners, FLEET_POOL]
        self._events.write("pools_given_up", pools=pools, reason=reason, taker=served[0].node)
        await self._transfer(served[0], pools, is_planned=not self._member.is_cut_off)

    async def _rebalance(self) -> None:
        """Transfer a pool that another node can serve better."""
        if self.is_stopping:
            return
        found = await self._rebalance_planner.plan_transfer()
        if found is not None:
            self._events.write(
                "pool_relieved", pool=found.pool, taker=found.new_owner.node, reason=found.reason
            )
            await self._transfer(found.new_owner, [found.pool], is_planned=True)
            self._rebalance_planner.record_transfer()

    async def _transfer(self, new_owner: Member, pools: Collection[str], is_planned: bool) -> None:
        """Stop the owners of pools on this node and request another node to take them over."""
        owners = [owner for pool, owner in self._owned.owners.items() if pool in pools]
        tokens = {owner.pool: owner.token for owner in owners}
        await asyncio.gather(*(self._close(owner, is_planned) for owner in owners))
        if self._steward is not None and FLEET_POOL in pools:
            tokens[FLEET_POOL] = self._steward.token
            await self._close_steward(self._steward)
        leases = {owner.pool: owner.released_leases for owner in owners if owner.released_leases}
        if tokens:
            await self._handover.request_takeover(new_owner, tokens, leases)

    async def _release_closed(self) -> None:
        """Release pools that the table lists as owned here but that are permanently closed."""
        closed = [
            pool
            for pool, found in self._table.owners.items()
            if found.owner == self._me
            and not found.is_released
            and found.token <= self._closed_tokens.get(pool, 0)
            and pool not in self._owned.owners
            and not self._holds.is_held(pool)
            and (pool != FLEET_POOL or self._steward is None)
        ]
        if closed and not self._member.is_cut_off:
            await self._release(closed)

    async def _release_if_own(self, pool: str, token: int) -> None:
        """Release a pool if the table still lists this node with this token."""
        found = self._table.owners.get(pool)
        is_own = found is not None and found.token == token and found.owner == self._me
        if is_own and not self._holds.is_held(pool):
            await self._release([pool])

    async def _release(self, pools: list[str]) -> None:
        try:
            await self._table.release(pools, self._me, self.is_stopping, self._closed_leases)
        except StoreError as error:
            self._events.write("release_failed", pools=pools, error=str(error))

    async def _acquire_free_pools(self) -> None:
        """Acquire free pools one by one, as each changes which node is to acquire the next."""
        while pools := self._election.get_pools_to_acquire():
            if not await self._acquire(pools[0]):
                return

    async def _acquire(self, pool: str) -> bool:
        """Acquire a pool; return whether that succeeded."""
        try:
            is_acquired = await self._table.acquire(
                pool, self._me, self._election.get_restarted_owners()
            )
        except StoreError as error:
            self._events.write("take_failed", pool=pool, error=f"{type(error).__name__}: {error}")
            return False
        self._open_acquired_pools()
        return is_acquired

    def _open_acquired_pools(self) -> None:
        for pool, found in list(self._table.owners.items()):
            if found.is_released or found.owner != self._me or self.is_stopping:
                continue
            if pool == FLEET_POOL:
                self._open_steward(found.token)
                continue
            owner = self._owned.owners.get(pool)
            if owner is None and self._closed_tokens.get(pool, 0) < found.token:
                predecessors = find_predecessors(
                    pool,
                    self._me,
                    self._table,
                    self._handover.stopped_tokens,
                    self._handover.query_stopped,
                    self._context.settings.bounds.lease_max_ms,
                    self._handover.released_leases,
                )
                owner = self._owned.make_owner(pool, found.token, predecessors)
                self._handover.log_acquired(owner.pool, owner.token)
                self._supervisor.start_once(f"pool/{pool}", partial(self._run_owner, owner))

    def _open_steward(self, token: int) -> None:
        if self._steward is None and self._closed_tokens.get(FLEET_POOL, 0) < token:
            wait_s = self._get_wait_s()
            self._steward = self._make_steward(token, wait_s)
            self._events.write("fleet_taken", token=token)
            self._supervisor.start_once(FLEET_POOL, partial(self._run_steward, self._steward))

    def _get_wait_s(self) -> float:
        """Return the seconds for which machines that the previous steward ordered get no order.

        Two stewards that both reach the platform must not give orders in alternation.  A
        steward whose process is stopping, or that was a previous incarnation of this node, gives
        no more orders.  That its node is not listed as a member proves nothing: a live node may
        hold no partition.
        """
        previous = self._table.previous.get(FLEET_POOL)
        if previous is None or previous.is_stopping or previous.owner.node == self._me.node:
            return 0.0
        return self._context.settings.bounds.steward_turn_ms / 1000

    async def _run_steward(self, steward: Steward) -> None:
        try:
            await steward.run()
        except (Exception, asyncio.CancelledError) as error:
            raise_if_cancelled(error)
            self._events.write("steward_failed", token=steward.token, **describe_error(error))
        await self._drop_steward(steward)

    async def _drop_steward(self, steward: Steward) -> None:
        if self._steward is steward:
            await self._close_steward(steward)
            await self._release_if_own(FLEET_POOL, steward.token)

    async def _close_steward(self, steward: Steward) -> None:
        self._closed_tokens[FLEET_POOL] = max(steward.token, self._closed_tokens.get(FLEET_POOL, 0))
        steward.fenced.set()
        self._steward = None
        await steward.stop()

    def _switch_followers(self) -> None:
        """Follow hosts and jobs only while this node owns pools, because each read has a cost."""
        for follower in self._followers:
            if self._owned.owners:
                follower.resume()
            else:
                follower.pause()

    async def _run_owner(self, owner: PoolOwner) -> None:
        self._holds.record_start(owner.pool)
        has_failed = False
        try:
            await owner.start()
            await owner.fenced.wait()
        except (Exception, asyncio.CancelledError) as error:
            raise_if_cancelled(error)
            self._events.write(
                "task_failed" if owner.is_open else "pool_open_failed",
                task=f"pool/{owner.pool}",
                pool=owner.pool,
                token=owner.token,
                **describe_error(error),
            )
            owner.fenced.set()
            has_failed = True
        if has_failed or owner.has_failed:
            self._holds.record_failure(owner.pool)
        await self._drop(owner)

    async def _drop_replaced(self) -> None:
        fleet = self._table.owners.get(FLEET_POOL)
        if self._steward is not None and fleet is not None and fleet.token > self._steward.token:
            await self._drop_steward(self._steward)
        for owner in list(self._owned.owners.values()):
            found = self._table.owners.get(owner.pool)
            if found is not None and (found.token > owner.token or found.owner != self._me):
                await self._drop(owner)

    async def _drop(self, owner: PoolOwner) -> None:
        await self._close(owner)
        await self._release_if_own(owner.pool, owner.token)

    async def _close(self, owner: PoolOwner, is_planned: bool = False) -> None:
        """Close a pool permanently under its token; if planned, write all records first."""
        if self._owned.owners.get(owner.pool) is owner:
            self._closed_tokens[owner.pool] = owner.token
            del self._owned.owners[owner.pool]
            if is_planned:
                await owner.stop(is_planned=True)
            owner.fenced.set()
            await owner.stop()
            self._closed_leases[owner.pool] = owner.released_leases
