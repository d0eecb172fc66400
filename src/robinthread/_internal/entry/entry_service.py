"""Execution of callers' requests."""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from robinthread._internal.claims.claim import Claim
from robinthread._internal.claims.claim_service import ClaimService
from robinthread._internal.dispatch.dispatch_service import DispatchService
from robinthread._internal.entry.answer_cache import RequestAnswers
from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.entry.caller_request import CallerRequest
from robinthread._internal.entry.refusal_answers import (
    make_cancelled_answer,
    make_refusal_answer,
    qualify_refusal,
)
from robinthread._internal.entry.retry_budget import RetryPolicy
from robinthread._internal.entry.running_request import RunningRequest
from robinthread._internal.entry.slot_finder import SlotFinder
from robinthread._internal.entry.try_runner import TryRunner
from robinthread._internal.models.daemon_member import DaemonMember
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.peers.messages import (
    AnswerReply,
    AnswerRequest,
    CancelReply,
    CancelRequest,
    ClaimReply,
    Preempt,
    SlotReply,
)
from robinthread._internal.peers.router import PeerRouter, PeerTimeoutError, Sender
from robinthread._internal.results import Family, ResultCode
from robinthread._internal.settings.claim_settings import ClaimSettings
from robinthread._internal.settings.entry_settings import EntrySettings
from robinthread._internal.telemetry.counters import Counters
from robinthread._internal.timeline.event_ring import EventRing
from robinthread._internal.upstream.control import ControlAction
from robinthread._internal.upstream.service import UpstreamService

# Time beyond the request's deadline in which the claim holder's reply may still arrive.
DUPLICATE_WAIT_MARGIN_S: Final = 0.2


@dataclass(frozen=True)
class EntryContext:
    """Functions and values of the daemon that the entry service uses."""

    name: str
    hall: str
    get_incarnation: Callable[[], str]
    get_state: Callable[[], FleetState]
    is_ready: Callable[[], bool]
    is_reachable: Callable[[DaemonMember], bool]
    upstream: UpstreamService
    router: PeerRouter
    wall_clock: Callable[[], float]
    random: random.Random
    counters: Counters
    events: EventRing


class EntryService:
    """Execute each request and return one final answer.

    The answer never says that a request did not run unless that is certain.
    """

    def __init__(
        self,
        context: EntryContext,
        settings: EntrySettings,
        claim_settings: ClaimSettings,
        claims: ClaimService,
        dispatch: DispatchService,
    ) -> None:
        self.is_stopping = False
        self._context = context
        self._settings = settings
        self._claim_settings = claim_settings
        self._claims = claims
        self._answers = RequestAnswers(context, settings, claims)
        self._retries = RetryPolicy(context, settings)
        self._ids = itertools.count(1)
        self._tries = TryRunner(context, settings, dispatch, lambda: next(self._ids))
        self._slots = SlotFinder(
            context.hall, dispatch, context.get_state, context.wall_clock, context.random
        )
        context.router.on(AnswerRequest, self._on_answer_request)
        context.router.on(CancelRequest, self._on_cancel_request)
        context.router.on(Preempt, self._on_preempt)

    @property
    def running_count(self) -> int:
        """Return the number of requests without a final answer."""
        return len(self._answers.running)

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Execute ``request``, or join or repeat the same request, and return the final answer."""
        key, digest = request.make_key(), request.make_digest()
        running = self._answers.running.get(key)
        if running is not None:
            return await self._join_running(running, digest)
        cached = self._answers.get(key)
        if cached is not None and cached.answer.code.family is not Family.DID_NOT_RUN:
            if cached.claim.digest != digest:
                return CallerAnswer(ResultCode.BODY_DIFFERS)
            return cached.answer
        answer = self._refuse(request) or await self._execute(request, key, digest)
        return self._count(answer)

    async def cancel(self, key: bytes) -> ResultCode:
        """Cancel a request on whichever daemon runs it, and return the code of its final answer.

        ``NOT_FOUND`` means that no daemon is known to hold it, and ``HOLDER_LOST`` that
        the holder did not reply.
        """
        self._context.counters.add("cancellations")
        known = await self._cancel_local(key)
        if known is not None:
            return known
        holder = await self._claims.find_holder(key)
        if holder is None or holder.name == self._context.name:
            return ResultCode.NOT_FOUND
        try:
            reply = await self._context.router.send_request(
                holder.peer_address, CancelRequest(key), self._claim_settings.claim_timeout_s
            )
        except PeerTimeoutError:
            return ResultCode.HOLDER_LOST
        assert isinstance(reply, CancelReply)
        return ResultCode(reply.code)

    async def wait_until_idle(self) -> None:
        """Wait until every request has its final answer."""
        while self._answers.running:
            await asyncio.wait([running.answer for running in self._answers.running.values()])
            await asyncio.sleep(0)

    def _refuse(self, request: CallerRequest) -> CallerAnswer | None:
        refusal = self._find_refusal(request)
        return qualify_refusal(request, refusal) if refusal else None

    def _find_refusal(self, request: CallerRequest) -> CallerAnswer | None:
        if self.is_stopping:
            return CallerAnswer(ResultCode.STOPPING, retry_after_s=0.1)
        if not self._context.is_ready():
            return CallerAnswer(ResultCode.NOT_READY, retry_after_s=1.0)
        if len(self._answers.running) >= self._settings.requests_max:
            return CallerAnswer(ResultCode.QUEUE_FULL, retry_after_s=1.0)
        if request.pool not in self._context.get_state().pools:
            return CallerAnswer(ResultCode.NO_SUCH_POOL)
        return None

    async def _execute(self, request: CallerRequest, key: bytes, digest: bytes) -> CallerAnswer:
        future: asyncio.Future[CallerAnswer] = asyncio.get_running_loop().create_future()
        running = self._answers.running[key] = RunningRequest(request, digest, future)
        answer = CallerAnswer(ResultCode.INTERNAL)
        try:
            answer = await self._execute_with_claim(running, key)
        finally:
            del self._answers.running[key]
            self._answers.store(running, answer)
            future.set_result(answer)
        return answer

    async def _execute_with_claim(self, running: RunningRequest, key: bytes) -> CallerAnswer:
        request = running.request
        if request.is_repeatable:
            return qualify_refusal(request, await self._run_tries(running, key))
        if request.deadline_at_s > self._context.wall_clock() + self._horizon_s:
            return CallerAnswer(ResultCode.BAD_REQUEST)
        claim = running.claim = self._make_claim(running, key)
        reply = await self._claims.request_claim(claim, self._claim_settings.claim_timeout_s)
        if reply.code == ResultCode.REPEATED:
            running.claim = None
            return await self._request_answer_from_holder(running, key, reply)
        if reply.code != ResultCode.OK:
            self._claims.release(claim)
            refusal = CallerAnswer(ResultCode(reply.code), retry_after_s=1.0)
            is_proven = reply.code == ResultCode.CLAIMS_FULL
            return refusal if is_proven else qualify_refusal(request, refusal)
        self._context.events.record("claimed", request.request_id, request.pool)
        answer = await self._run_tries(running, key)
        if answer.code.family is Family.DID_NOT_RUN:
            self._claims.release(claim)
        return answer

    @property
    def _horizon_s(self) -> float:
        return self._claim_settings.claim_horizon_s

    def _make_claim(self, running: RunningRequest, key: bytes) -> Claim:
        return Claim(
            key,
            running.digest,
            running.request.deadline_at_s + self._claim_settings.clock_skew_s,
            self._context.name,
            self._context.get_incarnation(),
            next(self._ids),
        )

    async def _request_answer_from_holder(
        self, running: RunningRequest, key: bytes, claim: ClaimReply
    ) -> CallerAnswer:
        """Answer a duplicate request with the answer of the claim's holder."""
        self._context.counters.add("duplicates")
        holder = self._context.get_state().daemons.get(claim.holder)
        if holder is None or holder.incarnation != claim.incarnation:
            return CallerAnswer(ResultCode.HOLDER_LOST)
        if holder.name == self._context.name:
            return self._answers.get_for_duplicate(key)
        if not self._context.is_reachable(holder):
            return CallerAnswer(ResultCode.HOLDER_LOST)
        left_s = running.request.deadline_at_s - self._context.wall_clock()
        wait_s = max(0.0, left_s)
        request = AnswerRequest(key, running.digest, wait_s)
        try:
            reply = await self._context.router.send_request(
                holder.peer_address, request, wait_s + DUPLICATE_WAIT_MARGIN_S
            )
        except PeerTimeoutError:
            return CallerAnswer(ResultCode.HOLDER_LOST)
        assert isinstance(reply, AnswerReply)
        return CallerAnswer(ResultCode(reply.code), reply.body, reply.retry_after_s)

    async def _run_tries(self, running: RunningRequest, key: bytes) -> CallerAnswer:
        """Run tries of the request on hosts until it has a final answer."""
        self._retries.record_first_try()
        while True:
            if running.is_cancelled:
                return make_cancelled_answer(running)
            slot = await self._slots.find(running)
            if running.is_cancelled and slot.code == ResultCode.OK:
                self._tries.release_unused_slot(running, slot)
                return make_cancelled_answer(running)
            if slot.code != ResultCode.OK:
                return self._answer_without_slot(running, slot)
            result = await self._tries.run(running, key, slot)
            final = self._retries.evaluate(running, result, slot)
            if final is not None:
                return final
            await self._retries.back_off(running)

    def _answer_without_slot(self, running: RunningRequest, slot: SlotReply) -> CallerAnswer:
        if running.is_cancelled:
            return make_cancelled_answer(running)
        return make_refusal_answer(running, ResultCode(slot.code), slot.retry_after_s)

    async def _join_running(self, running: RunningRequest, digest: bytes) -> CallerAnswer:
        if running.digest != digest:
            return CallerAnswer(ResultCode.BODY_DIFFERS)
        self._context.counters.add("duplicates")
        return await asyncio.shield(running.answer)

    def _count(self, answer: CallerAnswer) -> CallerAnswer:
        self._context.counters.add(f"answers_{answer.code.family.name.lower()}")
        return answer

    async def _cancel_local(self, key: bytes) -> ResultCode | None:
        running = self._answers.running.get(key)
        if running is None:
            cached = self._answers.get(key)
            return cached.answer.code if cached else None
        running.is_cancelled = True
        if running.slot_wait is not None:
            running.slot_wait.cancel()
        elif running.task_id:
            await self._tries.interrupt(running, ControlAction.STOP)
        return (await asyncio.shield(running.answer)).code

    async def _on_preempt(self, sender: Sender, preempt: Preempt) -> None:
        await self._tries.preempt(preempt)

    async def _on_answer_request(self, sender: Sender, request: AnswerRequest) -> AnswerReply:
        answer = await self._answers.find(request)
        return AnswerReply(answer.code, answer.body, answer.retry_after_s)

    async def _on_cancel_request(self, sender: Sender, request: CancelRequest) -> CancelReply:
        code = await self._cancel_local(request.key)
        return CancelReply(code if code is not None else ResultCode.NOT_FOUND)
