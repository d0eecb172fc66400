"""Liveness of owners that are not listed, by their response or lack of one."""

import asyncio
import itertools
from collections.abc import Callable

import msgspec
from testtools import TestCase

from robinthread._internal.durable.ownership import Member
from robinthread._internal.node.owner_liveness import (
    MISSING_CONFIRM_S,
    QUERIERS_PER_STAGE,
    STAGE_DELAY_S,
    OwnerLiveness,
)
from robinthread._internal.node.peer_calls import PeerUnreachableError
from robinthread._internal.node.peer_messages import StoreStatusResponse
from tests.lib.virtual import run_virtual, stall_loop

OWNER = Member("owner", "life", "owner")
LIVE = StoreStatusResponse(True, 1, 0.0, True, OWNER.incarnation)
# Response time of a live owner.
RESPONSE_S = 0.01
# Longer than the stall of a new node's event loop while it loads its state.
STALL_S = 0.3
CHECK_PERIOD_S = 0.01
WATCH_S = 2.0
# Time from the confirmed absence until the owner counts as lost: one or two checks.
SLACK_S = 0.03


class _Peers:
    """A peer that responds in time, refuses connections or does not respond."""

    def __init__(self, response: StoreStatusResponse | None, refuses: bool = False) -> None:
        self.query_count = 0
        self.response = response
        self._refuses = refuses

    async def send_request(
        self, address: str, request: msgspec.Struct, response_type: type, timeout_s: float
    ) -> StoreStatusResponse:
        """Respond, unless the time-out has passed by the time the response can be read."""
        self.query_count += 1
        began_at_s = asyncio.get_running_loop().time()
        responds_in_time = self.response is not None or self._refuses
        await asyncio.sleep(RESPONSE_S if responds_in_time else timeout_s)
        took_s = asyncio.get_running_loop().time() - began_at_s
        if self.response is None or took_s >= timeout_s:
            raise PeerUnreachableError(address)
        return self.response


def get_lost_at_s(
    peers: _Peers,
    hinder: Callable[[float], None] = lambda at_s: None,
    get_rank: Callable[[float], int] = lambda at_s: 0,
    from_s: float = 0.0,
) -> float | None:
    """Check a missing owner repeatedly; return the time until it counts as lost, or None.

    Losses before ``from_s`` are ignored.  ``hinder`` is called before each check.
    """

    async def work() -> float | None:
        loop = asyncio.get_running_loop()
        owner_liveness = OwnerLiveness(peers)  # type: ignore[arg-type]
        queries = asyncio.create_task(owner_liveness.run())
        began_at_s = loop.time()
        while (at_s := loop.time() - began_at_s) < WATCH_S:
            hinder(at_s)
            if owner_liveness.is_confirmed_lost(OWNER, get_rank(at_s)) and at_s >= from_s:
                return loop.time() - began_at_s
            await asyncio.sleep(CHECK_PERIOD_S)
        queries.cancel()
        return None

    return run_virtual(work())


def stall_at(*moments_s: float) -> Callable[[float], None]:
    """Return a function that stalls the loop once at each of the given times."""
    left = list(moments_s)

    def stall(at_s: float) -> None:
        if left and at_s >= left[0]:
            left.pop(0)
            stall_loop(STALL_S)

    return stall


def stall_always(stall_s: float) -> Callable[[float], None]:
    """Return a function that stalls the loop before each check."""
    return lambda at_s: stall_loop(stall_s)


class OwnerLivenessTest(TestCase):
    def _check_lost_at(self, lost_at_s: float | None, limit_s: float) -> None:
        assert lost_at_s is not None
        self.assertTrue(MISSING_CONFIRM_S <= lost_at_s <= limit_s, lost_at_s)

    def test_unresponsive_owner_is_lost_once_its_absence_is_confirmed(self) -> None:
        self._check_lost_at(get_lost_at_s(_Peers(None)), MISSING_CONFIRM_S + SLACK_S)

    def test_owner_that_refuses_connections_is_lost_once_its_absence_is_confirmed(self) -> None:
        self._check_lost_at(get_lost_at_s(_Peers(None, refuses=True)), MISSING_CONFIRM_S + SLACK_S)

    def test_owner_that_the_store_does_not_serve_is_lost(self) -> None:
        not_member = msgspec.structs.replace(LIVE, is_member=False)
        self._check_lost_at(get_lost_at_s(_Peers(not_member)), MISSING_CONFIRM_S + SLACK_S)

    def test_owner_is_lost_at_once_if_another_incarnation_responds(self) -> None:
        lost_at_s = get_lost_at_s(_Peers(msgspec.structs.replace(LIVE, incarnation="next")))
        assert lost_at_s is not None
        self.assertLess(lost_at_s, RESPONSE_S + SLACK_S)

    def test_response_without_incarnation_does_not_prove_that_the_owner_has_ended(self) -> None:
        self._check_lost_at(
            get_lost_at_s(_Peers(msgspec.structs.replace(LIVE, incarnation=""))),
            MISSING_CONFIRM_S + SLACK_S,
        )

    def test_live_owner_is_kept_whenever_the_querying_loop_stalls(self) -> None:
        for number in range(30):
            moments_s = (0.02 * number, 0.02 * number + STALL_S + 0.05)
            self.assertIsNone(get_lost_at_s(_Peers(LIVE), stall_at(*moments_s)), str(moments_s))

    def test_dead_owner_is_lost_soon_after_a_stall(self) -> None:
        for number in range(30):
            lost_at_s = get_lost_at_s(_Peers(None), stall_at(0.02 * number))
            # One inconclusive query, and one whose timeout is extended by the stall.
            self._check_lost_at(lost_at_s, 2 * MISSING_CONFIRM_S + 2 * STALL_S + SLACK_S)

    def test_dead_owner_is_lost_even_if_the_loop_is_always_late(self) -> None:
        for is_refused, stall_s in itertools.product((False, True), (0.1, 0.15)):
            lost_at_s = get_lost_at_s(_Peers(None, is_refused), stall_always(stall_s))
            self._check_lost_at(lost_at_s, WATCH_S + stall_s)

    def test_owner_that_dies_after_a_query_is_lost_soon(self) -> None:
        peers = _Peers(LIVE)

        def die(at_s: float) -> None:
            if at_s >= 1.0:
                peers.response = None

        self._check_lost_at(get_lost_at_s(peers, die), 1.0 + 3 * MISSING_CONFIRM_S)

    def test_live_owner_is_queried_once_per_response_time(self) -> None:
        peers = _Peers(LIVE)
        get_lost_at_s(peers)
        self.assertLessEqual(peers.query_count, WATCH_S / MISSING_CONFIRM_S + 1)

    def test_node_of_a_later_stage_queries_later(self) -> None:
        peers = _Peers(LIVE)
        self.assertIsNone(get_lost_at_s(peers, get_rank=lambda at_s: QUERIERS_PER_STAGE))
        self.assertLessEqual(peers.query_count, WATCH_S / STAGE_DELAY_S)
        lost_at_s = get_lost_at_s(_Peers(None), get_rank=lambda at_s: QUERIERS_PER_STAGE)
        self._check_lost_at(lost_at_s, STAGE_DELAY_S + MISSING_CONFIRM_S + 2 * SLACK_S)

    def test_node_that_moves_to_the_first_stage_queries_at_once(self) -> None:
        change_at_s = STAGE_DELAY_S / 2
        lost_at_s = get_lost_at_s(
            _Peers(None), get_rank=lambda at_s: QUERIERS_PER_STAGE if at_s < change_at_s else 0
        )
        self._check_lost_at(lost_at_s, change_at_s + MISSING_CONFIRM_S + 3 * SLACK_S)

    def test_node_that_moves_to_the_first_stage_ignores_an_expired_result(
        self,
    ) -> None:
        peers = _Peers(None)
        first_at_s = STAGE_DELAY_S + 3 * MISSING_CONFIRM_S + 2 * SLACK_S

        def come_back(at_s: float) -> None:
            if at_s >= STAGE_DELAY_S + MISSING_CONFIRM_S + SLACK_S:
                peers.response = LIVE

        def get_rank(at_s: float) -> int:
            return QUERIERS_PER_STAGE if at_s < first_at_s else 0

        self.assertIsNone(get_lost_at_s(peers, come_back, get_rank, first_at_s))
        self.assertGreater(peers.query_count, 1)
