"""Relays of records through another node, which are given up if that node stops responding."""

import asyncio
from typing import Final

from robinthread._internal.durable.ownership import Member
from robinthread._internal.node.gatherers import AvoidedNodes
from robinthread._internal.node.peer_calls import (
    PeerCalls,
    PeerUnreachableError,
    PeerUnsentError,
)
from robinthread._internal.node.peer_messages import (
    RelayRequest,
    RelayResponse,
    StoreStatusRequest,
    StoreStatusResponse,
)

# A relay without a response for this long is followed by a query that a live node answers at
# once.  A relay through a slow store takes 0.25 s or more, so its silence alone shows nothing.
CHECK_AFTER_S: Final = 0.3
# A peer at a fifth of the usual speed responds within 50 ms.
CHECK_TIMEOUT_S: Final = 0.25
# Number of queries in a row that show the store as silent to the node before a relay is given up.
# Until the second one, the node rejects the records that it has not sent.
SILENT_CHECKS: Final = 2


class RelayClient:
    """Sends relay requests, and notices nodes that do not respond."""

    def __init__(self, peers: PeerCalls, avoided: AvoidedNodes) -> None:
        self._peers = peers
        self._avoided = avoided
        self._checks: dict[str, asyncio.Task[StoreStatusResponse | None]] = {}

    async def send(self, member: Member, request: RelayRequest, timeout_s: float) -> RelayResponse:
        """Return a node's response to a relay; raise ``PeerUnreachableError`` if there is none.

        ``PeerUnsentError`` means that the node did not get the request.
        """
        relay = asyncio.ensure_future(
            self._peers.send_request(member.address, request, RelayResponse, timeout_s)
        )
        silent_count = 0
        try:
            while not await _is_done_within(relay, CHECK_AFTER_S):
                status = await self._get_status(member)
                silent_count = silent_count + 1 if status and status.is_store_silent else 0
                is_lost = status is None or silent_count >= SILENT_CHECKS
                if is_lost and not relay.done():
                    relay.add_done_callback(_discard_outcome)
                    self._avoided.add(member.node)
                    raise PeerUnreachableError(
                        f"{member.node} does not respond, or the store not to it"
                    )
            return relay.result()
        except PeerUnsentError:
            self._avoided.add(member.node)
            raise

    async def _get_status(self, member: Member) -> StoreStatusResponse | None:
        """Query whether a node responds, and the store to it; None if it does not.

        Queries at the same time are made once.
        """
        check = self._checks.get(member.node)
        if check is None:
            check = self._checks[member.node] = asyncio.ensure_future(self._query(member))
            check.add_done_callback(lambda _check: self._checks.pop(member.node, None))
        return await asyncio.shield(check)

    async def _query(self, member: Member) -> StoreStatusResponse | None:
        try:
            return await self._peers.send_request(
                member.address, StoreStatusRequest(), StoreStatusResponse, CHECK_TIMEOUT_S
            )
        except PeerUnreachableError:
            # The relay's outcome is unknown; its caller goes on to another node.
            return None


async def _is_done_within(relay: asyncio.Future[RelayResponse], wait_s: float) -> bool:
    await asyncio.wait({relay}, timeout=wait_s)
    return relay.done()


def _discard_outcome(relay: asyncio.Future[RelayResponse]) -> None:
    """Retrieve the outcome of a relay that was given up, so that it is not logged as lost."""
    if not relay.cancelled():
        relay.exception()
