"""Handover of pools to other nodes while this one cannot own them.

The store may reject one node and serve the others.  The others notice only when the node's
membership has lapsed; the node itself knows at once.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

from robinthread._internal.durable.errors import StoreError
from robinthread._internal.durable.ownership import Member, Ownership, OwnerTable
from robinthread._internal.durable.released_leases import ReleasedLeases
from robinthread._internal.node.election import Election
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.host_list_access import HostListAccess
from robinthread._internal.node.loop_lag import LAG_MAX_S, LoopLag
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.peer_calls import PeerCalls, PeerUnreachableError
from robinthread._internal.node.peer_messages import (
    HostsProbeResponse,
    OwnerStoppedRequest,
    OwnerStoppedResponse,
    StoreStatusRequest,
    StoreStatusResponse,
    TakeoverRequest,
    TakeoverResponse,
)
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.rendezvous import get_rendezvous_weight

# A takeover makes two appends and one read of the store, each of which may be slow.
TAKEOVER_TIMEOUT_S: Final = 1.0
# Timeout of a probe, in which the other node makes one read of the store.
PROBE_WAIT_S: Final = 1.0
# Interval at which a node that the store does not serve polls which other nodes it serves.
QUERY_PERIOD_S: Final = 0.4


class Handover:
    """Finds nodes that the store serves, and takes over pools that other nodes hand over.

    ``stopped_tokens`` maps a pool to the newest token whose owner stopped before it handed the
    pool over, and ``released_leases`` to the leases that this owner left.  ``served`` lists the
    other nodes that can own pools while this one cannot, because the store does not serve it, a
    background task keeps failing (``find_failing`` returns its name) or it cannot read the hosts.
    They are ordered by the load relative to capacity that each would have with one more pool.  It
    is empty while this node can own pools, or no node at all.
    """

    def __init__(
        self,
        me: Member,
        table: OwnerTable,
        election: Election,
        member: GroupMember,
        owned: OwnedPools,
        peers: PeerCalls,
        events: EventLog,
        lag: LoopLag,
        host_list: HostListAccess,
        find_failing: Callable[[], str],
    ) -> None:
        self._me = me
        self._table = table
        self._election = election
        self._member = member
        self._owned = owned
        self._peers = peers
        self._events = events
        self._lag = lag
        self._host_list = host_list
        self._find_failing = find_failing
        self.stopped_tokens: dict[str, int] = {}
        self.released_leases: dict[str, ReleasedLeases] = {}
        self.served: tuple[Member, ...] = ()

    async def run(self) -> None:
        """Keep ``served`` up to date until cancelled."""
        while True:
            self.served = await self._find_served() if self.find_inability() else ()
            await asyncio.sleep(QUERY_PERIOD_S)

    def find_inability(self) -> str:
        """Return why other nodes should own this node's pools, "" if there is no reason."""
        if self._member.is_cut_off:
            return "the store does not serve this node"
        failing = self._find_failing()
        return f"the task {failing} keeps failing" if failing else self._host_list.find_loss()

    async def _find_served(self) -> tuple[Member, ...]:
        others = sorted(self._member.members - {self._me})
        responses = await asyncio.gather(*map(self.query_store_status, others))
        served = sorted(
            (
                (response.owned_count + 1) / member.capacity_millicores,
                get_rendezvous_weight(self._me.node, member.node),
                member,
            )
            for member, response in zip(others, responses, strict=True)
            if response.is_served
        )
        members = [member for _load, _weight, member in served]
        if self._member.is_cut_off:
            return tuple(members)
        # The store serves this node too, so another must prove that it would be a better owner.
        able = await asyncio.gather(*map(self._can_read_hosts, members))
        return tuple(itertools.compress(members, able))

    async def _can_read_hosts(self, member: Member) -> bool:
        try:
            response = await self._peers.send_request(
                member.address, self._host_list.make_probe(), HostsProbeResponse, PROBE_WAIT_S
            )
        except PeerUnreachableError:
            # A node of an older build does not know the request.
            return False
        return response.is_read

    async def request_takeover(
        self, new_owner: Member, tokens: dict[str, int], leases: dict[str, ReleasedLeases]
    ) -> None:
        """Request that a node take over pools whose owner here has stopped."""
        request = TakeoverRequest(tokens, leases)
        try:
            response = await self._peers.send_request(
                new_owner.address, request, TakeoverResponse, TAKEOVER_TIMEOUT_S
            )
        except PeerUnreachableError as error:
            # The next owner acquires these pools once this node's membership has lapsed.
            self._events.write("pools_not_passed_on", taker=new_owner.node, error=str(error))
            return
        self._events.write(
            "pools_passed_on", taker=new_owner.node, tokens=tokens, taken=sorted(response.taken)
        )

    def log_acquired(self, pool: str, token: int) -> None:
        """Log that this node has acquired a pool, with the reason and the previous owner."""
        previous = self._table.previous.get(pool)
        self._events.write(
            "pool_taken",
            pool=pool,
            token=token,
            reason=self._get_acquisition_reason(pool, previous),
            previous=previous.owner.node if previous is not None else "",
        )

    def _get_acquisition_reason(self, pool: str, previous: Ownership | None) -> str:
        if previous is None or previous.is_released:
            return "free"
        if self.stopped_tokens.get(pool, 0) >= previous.token:
            return "passed on"
        if previous.owner.node == self._me.node:
            return "former life"
        if self._election.has_ended(pool):
            return "owner began another life"
        missing_s = self._election.get_missing_s(pool)
        return "owner missing" if missing_s is None else f"owner missing for {missing_s:.2f} s"

    def handle_store_status(self) -> StoreStatusResponse:
        """Return whether the store serves this node, with its pool count and loop lag."""
        return StoreStatusResponse(
            self._election.may_acquire,
            len(self._owned.owners),
            self._lag.lag_s,
            self._member.is_within_ttl,
            self._me.incarnation,
            self._member.is_store_silent,
        )

    async def handle_takeover(self, request: TakeoverRequest) -> TakeoverResponse:
        """Take over the requested pools whose owners have not changed since the request."""
        if not self._election.may_acquire or self._lag.lag_s > LAG_MAX_S:
            return TakeoverResponse(())
        self.stopped_tokens |= request.tokens
        for pool in request.tokens:
            self.released_leases.pop(pool, None)
        self.released_leases |= request.leases
        try:
            return TakeoverResponse(tuple(await self._table.take_over(request.tokens, self._me)))
        except StoreError as error:
            self._events.write(
                "take_failed",
                tokens=request.tokens,
                error=f"{type(error).__name__}: {error}",
            )
            return TakeoverResponse(())

    async def query_stopped(self, owner: Member, pool: str, token: int) -> bool:
        """Return whether an earlier owner's node has stopped under a token and all lower ones.

        A response from a later incarnation of that node proves it too: the process before it
        has ended.
        """
        try:
            response = await self._peers.send_request(
                owner.address, OwnerStoppedRequest(pool, token), OwnerStoppedResponse
            )
        except PeerUnreachableError:
            # The node may be running but cut off from this one, so its state is unknown.
            return False
        return response.node == owner.node and response.has_stopped

    async def query_store_status(self, member: Member) -> StoreStatusResponse:
        """Query whether the store serves a node, its pool count and its loop lag."""
        try:
            return await self._peers.send_request(
                member.address, StoreStatusRequest(), StoreStatusResponse
            )
        except PeerUnreachableError:
            # An unreachable node is not a candidate; the result is used for nothing else.
            return StoreStatusResponse(is_served=False, owned_count=0)
