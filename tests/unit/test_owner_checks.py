"""Owners that are not listed, and what follows from what they answer or do not."""

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
LIVING = StoreStatusResponse(True, 1, 0.0, True, OWNER.incarnation)
# How long a living owner takes to answer.
ANSWER_S = 0.01
# As long as a new node's loop may be held by what it loads, and more.
STALL_S = 0.3
LOOK_PERIOD_S = 0.01
WATCH_S = 2.0
# How much later than the absence is confirmed an owner may count as gone: a look or two.
SLACK_S = 0.03


class _Peers:
    """A peer that answers in time, or none."""

    def __init__(self, answer: StoreStatusResponse | None, refuses: bool = False) -> None:
        self.asked_count = 0
        self.answer = answer
        self._refuses = refuses

    async def send_request(
        self, address: str, request: msgspec.Struct, response_type: type, timeout_s: float
    ) -> StoreStatusResponse:
        """Answer, but not to one whose time-out has passed when it could read that."""
        self.asked_count += 1
        began_at_s = asyncio.get_running_loop().time()
        answers_in_time = self.answer is not None or self._refuses
        await asyncio.sleep(ANSWER_S if answers_in_time else timeout_s)
        took_s = asyncio.get_running_loop().time() - began_at_s
        if self.answer is None or took_s >= timeout_s:
            raise PeerUnreachableError(address)
        return self.answer


def watch(
    peers: _Peers,
    hinder: Callable[[float], None] = lambda at_s: None,
    get_rank: Callable[[float], int] = lambda at_s: 0,
    from_s: float = 0.0,
) -> float | None:
    """Miss the owner; return when it counted as gone, from a moment on, None for not at all.

    ``hinder`` is called before each look.
    """

    async def work() -> float | None:
        loop = asyncio.get_running_loop()
        owner_liveness = OwnerLiveness(peers)  # type: ignore[arg-type]
        asking = asyncio.create_task(owner_liveness.run())
        began_at_s = loop.time()
        while (at_s := loop.time() - began_at_s) < WATCH_S:
            hinder(at_s)
            if owner_liveness.is_confirmed_lost(OWNER, get_rank(at_s)) and at_s >= from_s:
                return loop.time() - began_at_s
            await asyncio.sleep(LOOK_PERIOD_S)
        asking.cancel()
        return None

    return run_virtual(work())


def stall_at(*moments_s: float) -> Callable[[float], None]:
    """Stall the loop once at each of some moments."""
    left = list(moments_s)

    def stall(at_s: float) -> None:
        if left and at_s >= left[0]:
            left.pop(0)
            stall_loop(STALL_S)

    return stall


def stall_always(stall_s: float) -> Callable[[float], None]:
    """Stall the loop before each look."""
    return lambda at_s: stall_loop(stall_s)


class OwnerLivenessTest(TestCase):
    def _check_gone(self, gone_at_s: float | None, limit_s: float) -> None:
        assert gone_at_s is not None
        self.assertTrue(MISSING_CONFIRM_S <= gone_at_s <= limit_s, gone_at_s)

    def test_owner_that_does_not_answer_is_gone_once_its_absence_is_confirmed(self) -> None:
        self._check_gone(watch(_Peers(None)), MISSING_CONFIRM_S + SLACK_S)

    def test_owner_that_refuses_is_gone_once_its_absence_is_confirmed(self) -> None:
        self._check_gone(watch(_Peers(None, refuses=True)), MISSING_CONFIRM_S + SLACK_S)

    def test_owner_that_the_store_does_not_hear_is_gone(self) -> None:
        unheard = msgspec.structs.replace(LIVING, is_member=False)
        self._check_gone(watch(_Peers(unheard)), MISSING_CONFIRM_S + SLACK_S)

    def test_owner_is_gone_at_once_where_another_life_answers(self) -> None:
        gone_at_s = watch(_Peers(msgspec.structs.replace(LIVING, incarnation="next")))
        assert gone_at_s is not None
        self.assertLess(gone_at_s, ANSWER_S + SLACK_S)

    def test_answer_that_tells_no_life_is_no_proof_that_the_owner_has_ended(self) -> None:
        self._check_gone(
            watch(_Peers(msgspec.structs.replace(LIVING, incarnation=""))),
            MISSING_CONFIRM_S + SLACK_S,
        )

    def test_living_owner_stays_whenever_the_loop_of_who_asks_stalls(self) -> None:
        for number in range(30):
            moments_s = (0.02 * number, 0.02 * number + STALL_S + 0.05)
            self.assertIsNone(watch(_Peers(LIVING), stall_at(*moments_s)), str(moments_s))

    def test_dead_owner_is_gone_soon_after_a_stall(self) -> None:
        for number in range(30):
            gone_at_s = watch(_Peers(None), stall_at(0.02 * number))
            # One ask that proves nothing, and one that has the time of the stall added.
            self._check_gone(gone_at_s, 2 * MISSING_CONFIRM_S + 2 * STALL_S + SLACK_S)

    def test_dead_owner_is_gone_also_where_the_loop_always_runs_late(self) -> None:
        for is_refused, stall_s in itertools.product((False, True), (0.1, 0.15)):
            gone_at_s = watch(_Peers(None, is_refused), stall_always(stall_s))
            self._check_gone(gone_at_s, WATCH_S + stall_s)

    def test_owner_that_dies_after_it_was_asked_is_gone_soon(self) -> None:
        peers = _Peers(LIVING)

        def die(at_s: float) -> None:
            if at_s >= 1.0:
                peers.answer = None

        self._check_gone(watch(peers, die), 1.0 + 3 * MISSING_CONFIRM_S)

    def test_living_owner_is_asked_once_in_the_time_that_an_answer_may_take(self) -> None:
        peers = _Peers(LIVING)
        watch(peers)
        self.assertLessEqual(peers.asked_count, WATCH_S / MISSING_CONFIRM_S + 1)

    def test_node_that_is_not_among_the_first_to_take_asks_later(self) -> None:
        peers = _Peers(LIVING)
        self.assertIsNone(watch(peers, get_rank=lambda at_s: QUERIERS_PER_STAGE))
        self.assertLessEqual(peers.asked_count, WATCH_S / STAGE_DELAY_S)
        gone_at_s = watch(_Peers(None), get_rank=lambda at_s: QUERIERS_PER_STAGE)
        self._check_gone(gone_at_s, STAGE_DELAY_S + MISSING_CONFIRM_S + 2 * SLACK_S)

    def test_node_that_becomes_the_first_to_take_asks_at_once(self) -> None:
        change_at_s = STAGE_DELAY_S / 2
        gone_at_s = watch(
            _Peers(None), get_rank=lambda at_s: QUERIERS_PER_STAGE if at_s < change_at_s else 0
        )
        self._check_gone(gone_at_s, change_at_s + MISSING_CONFIRM_S + 3 * SLACK_S)

    def test_node_that_becomes_the_first_to_take_does_not_go_by_what_it_heard_long_ago(
        self,
    ) -> None:
        peers = _Peers(None)
        first_at_s = STAGE_DELAY_S + 3 * MISSING_CONFIRM_S + 2 * SLACK_S

        def come_back(at_s: float) -> None:
            if at_s >= STAGE_DELAY_S + MISSING_CONFIRM_S + SLACK_S:
                peers.answer = LIVING

        def get_rank(at_s: float) -> int:
            return QUERIERS_PER_STAGE if at_s < first_at_s else 0

        self.assertIsNone(watch(peers, come_back, get_rank, first_at_s))
        self.assertGreater(peers.asked_count, 1)
