"""An owner that is not listed is queried before it counts as lost."""

import asyncio
from collections.abc import Callable

import msgspec
from testtools import TestCase

from robinthread._internal.durable.ownership import Member
from robinthread._internal.node.owner_liveness import MISSING_CONFIRM_S, OwnerLiveness
from robinthread._internal.node.peer_calls import PeerUnreachableError
from robinthread._internal.node.peer_messages import StoreStatusResponse
from tests.lib.virtual import run_virtual

DEAD, LIVE = Member("dead", "life", "dead"), Member("living", "life", "living")
# Response time of a live owner, well below the time-out.
RESPONSE_S = 0.1
CHECK_PERIOD_S = 0.01


class _Peers:
    """Peers, one of which is alive."""

    async def send_request(
        self, address: str, request: msgspec.Struct, response_type: type, timeout_s: float
    ) -> StoreStatusResponse:
        """Respond as the live node, or time out as the dead one."""
        if address == DEAD.address:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachableError(address)
        await asyncio.sleep(RESPONSE_S)
        return StoreStatusResponse(True, 1, 0.0, True, LIVE.incarnation)


class OwnersAskedInTimeTest(TestCase):
    def _check(self, miss: Callable[[OwnerLiveness], float]) -> None:
        """Have owners missing from the list; the live one must never count as lost."""

        async def work() -> None:
            owner_liveness = OwnerLiveness(_Peers())  # type: ignore[arg-type]
            queries = asyncio.create_task(owner_liveness.run())
            await asyncio.sleep(miss(owner_liveness))
            for _check_number in range(200):
                self.assertFalse(owner_liveness.is_confirmed_lost(LIVE))
                await asyncio.sleep(CHECK_PERIOD_S)
            queries.cancel()

        run_virtual(work())

    def test_live_owner_alone(self) -> None:
        self._check(lambda owner_liveness: 0.0)

    def test_live_owner_that_is_missing_just_after_a_dead_one(self) -> None:
        def miss(owner_liveness: OwnerLiveness) -> float:
            owner_liveness.is_confirmed_lost(DEAD)
            return MISSING_CONFIRM_S / 10

        self._check(miss)
