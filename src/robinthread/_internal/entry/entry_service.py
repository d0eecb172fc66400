"""Serving callers' requests."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final

from robinthread._internal.claims.claim import Claim
from robinthread._internal.claims.claim_service import ClaimService
from robinthread._internal.dispatch.dispatch_service import DispatchService
from robinthread._internal.dispatch.slot_outcome import SlotOutcome
from robinthread._internal.entry.answer_cache import AnswerCache, CachedAnswer
from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.entry.caller_request import CallerRequest
from robinthread._internal.entry.retry_budget import RetryBudget
from robinthread._internal.entry.running_request import RunningRequest
from robinthread._internal.entry.slot_finder import SlotFinder
from robinthread._internal.entry.truths import (
    admit_earlier_tries,
    answer_cancelled,
    answer_refused,
)
from robinthread._internal.entry.try_result import TryResult
from robinthread._internal.entry.worker_try import run_try
from robinthread._internal.models.daemon_member import DaemonMember
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.peers.messages import (
    AnswerAsk,
    AnswerReply,
    CancelAsk,
    CancelReply,
    ClaimReply,
    Preempt,
    SlotRelease,
    SlotReply,
)
from robinthread._internal.peers.router import PeerRouter, PeerTimeoutError, Sender
from robinthread._internal.results import Family, ResultCode
from robinthread._internal.settings.claim_settings import ClaimSettings
from robinthread._internal.settings.entry_settings import EntrySettings
from robinthread._internal.telemetry.counters import Counters
from robinthread._internal.timeline.event_ring import EventRing
from robinthread._internal.upstream.control import ControlAction, ControlCall
from robinthread._internal.upstream.errors import UpstreamLostError, UpstreamUnsentError
from robinthread._internal.upstream.service import UpstreamService
from robinthread._internal.upstream.task import Task

DUPLICATE_WAIT_MARGIN_S: Final = 0.2
SAFE_OUTCOMES: Final = frozenset({SlotOutcome.NOT_STARTED, SlotOutcome.UNSENT})
INTERRUPTED_OUTCOMES: Final = frozenset({SlotOutcome.CHECKPOINTED, SlotOutcome.STOPPED})


@dataclass(frozen=True)
class EntryContext:
    """What the entry needs from its daemon."""

    name: str
    hall: str
    get_incarnation: Callable[[], str]
    get_state: Callable[[], FleetState]
    is_ready: Callable[[], bool]
    can_hear: Callable[[DaemonMember], bool]
    upstream: UpstreamService
    router: PeerRouter
    wall_clock: Callable[[], float]
    random: random.Random
    counters: Counters
    events: EventRing


class EntryService:
    """Carry each request to one final, truthful answer."""

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
        self._dispatch = dispatch
        self._running: dict[bytes, RunningRequest] = {}
        self._by_lease: dict[str, RunningRequest] = {}
        self._answers = AnswerCache(settings.answers_max_bytes)
        self._retries = RetryBudget(settings.retry_share)
        self._ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._slots = SlotFinder(
            context.hall, dispatch, context.get_state, context.wall_clock, context.random
        )
        context.router.on(AnswerAsk, self._on_answer_ask)
        context.router.on(CancelAsk, self._on_cancel_ask)
        context.router.on(Preempt, self._on_preempt)

    @property
    def running_count(self) -> int:
        """Return the number of requests without a final answer."""
        return len(self._running)

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Return the final answer to ``request``."""
        key, digest = request.make_key(), request.make_digest()
        running = self._running.get(key)
        if running is not None:
            return await self._join(running, digest)
        cached = self._answers.get(key)
        if cached is not None and cached.answer.code.family is not Family.DID_NOT_RUN:
            if cached.claim.digest != digest:
                return CallerAnswer(ResultCode.BODY_DIFFERS)
            return cached.answer
        answer = self._refuse(request) or await self._carry(request, key, digest)
        return self._count(answer)

    async def cancel(self, key: bytes) -> ResultCode:
        """Cancel a request wherever it is; the code tells what it came to."""
        self._context.counters.add("cancellations")
        known = await self._cancel_here(key)
        if known is not None:
            return known
        holder = await self._claims.find_holder(key)
        if holder is None or holder.name == self._context.name:
            return ResultCode.NOT_FOUND
        try:
            reply = await self._context.router.ask(
                holder.peer_address, CancelAsk(key), self._claim_settings.claim_timeout_s
            )
        except PeerTimeoutError:
            return ResultCode.HOLDER_LOST
        assert isinstance(reply, CancelReply)
        return ResultCode(reply.code)

    async def wait_until_idle(self) -> None:
        """Wait until no request is without its final answer."""
        while self._running:
            await asyncio.wait([running.answer for running in self._running.values()])
            await asyncio.sleep(0)

    def _refuse(self, request: CallerRequest) -> CallerAnswer | None:
        refusal = self._find_refusal(request)
        return admit_earlier_tries(request, refusal) if refusal else None

    def _find_refusal(self, request: CallerRequest) -> CallerAnswer | None:
        if self.is_stopping:
            return CallerAnswer(ResultCode.STOPPING, retry_after_s=0.1)
        if not self._context.is_ready():
            return CallerAnswer(ResultCode.NOT_READY, retry_after_s=1.0)
        if len(self._running) >= self._settings.requests_max:
            return CallerAnswer(ResultCode.QUEUE_FULL, retry_after_s=1.0)
        if request.pool not in self._context.get_state().pools:
            return CallerAnswer(ResultCode.NO_SUCH_POOL)
        return None

    async def _carry(self, request: CallerRequest, key: bytes, digest: bytes) -> CallerAnswer:
        future: asyncio.Future[CallerAnswer] = asyncio.get_running_loop().create_future()
        running = self._running[key] = RunningRequest(request, digest, future)
        answer = CallerAnswer(ResultCode.INTERNAL)
        try:
            answer = await self._carry_claimed(running, key)
        finally:
            del self._running[key]
            self._keep(running, answer)
            future.set_result(answer)
        return answer

    async def _carry_claimed(self, running: RunningRequest, key: bytes) -> CallerAnswer:
        request = running.request
        if request.is_repeatable:
            return admit_earlier_tries(request, await self._place(running, key))
        if request.deadline_at_s > self._context.wall_clock() + self._horizon_s:
            return CallerAnswer(ResultCode.BAD_REQUEST)
        claim = running.claim = self._make_claim(running, key)
        reply = await self._claims.ask(claim, self._claim_settings.claim_timeout_s)
        if reply.code == ResultCode.REPEATED:
            running.claim = None
            return await self._ask_holder(running, key, reply)
        if reply.code != ResultCode.OK:
            self._claims.release(claim)
            refusal = CallerAnswer(ResultCode(reply.code), retry_after_s=1.0)
            is_proven = reply.code == ResultCode.CLAIMS_FULL
            return refusal if is_proven else admit_earlier_tries(request, refusal)
        self._context.events.note("claimed", request.request_id, request.pool)
        answer = await self._place(running, key)
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

    async def _ask_holder(
        self, running: RunningRequest, key: bytes, claim: ClaimReply
    ) -> CallerAnswer:
        """Answer a duplicate with what the claim's holder says."""
        self._context.counters.add("duplicates")
        holder = self._context.get_state().daemons.get(claim.holder)
        if holder is None or holder.incarnation != claim.incarnation:
            return CallerAnswer(ResultCode.HOLDER_LOST)
        if holder.name == self._context.name:
            cached = self._answers.get(key)
            return self._repeat_answer(cached) if cached else _UNKNOWN
        if not self._context.can_hear(holder):
            return CallerAnswer(ResultCode.HOLDER_LOST)
        left_s = running.request.deadline_at_s - self._context.wall_clock()
        wait_s = max(0.0, left_s)
        ask = AnswerAsk(key, running.digest, wait_s)
        try:
            reply = await self._context.router.ask(
                holder.peer_address, ask, wait_s + DUPLICATE_WAIT_MARGIN_S
            )
        except PeerTimeoutError:
            return CallerAnswer(ResultCode.HOLDER_LOST)
        assert isinstance(reply, AnswerReply)
        return CallerAnswer(ResultCode(reply.code), reply.body, reply.retry_after_s)

    async def _place(self, running: RunningRequest, key: bytes) -> CallerAnswer:
        """Try hosts until the request has its final answer."""
        self._retries.note_first_try()
        while True:
            if running.is_cancelled:
                return answer_cancelled(running)
            slot = await self._slots.find(running)
            if running.is_cancelled and slot.code == ResultCode.OK:
                self._give_back(running, slot, _UNUSED, 0.0)
                return answer_cancelled(running)
            if slot.code != ResultCode.OK:
                return self._answer_without_slot(running, slot)
            result = await self._try_on(running, key, slot)
            final = self._judge(running, result, slot)
            if final is not None:
                return final
            await self._back_off(running)

    def _answer_without_slot(self, running: RunningRequest, slot: SlotReply) -> CallerAnswer:
        if running.is_cancelled:
            return answer_cancelled(running)
        return answer_refused(running, ResultCode(slot.code), slot.retry_after_s)

    async def _try_on(self, running: RunningRequest, key: bytes, slot: SlotReply) -> TryResult:
        request = running.request
        left_s = request.deadline_at_s - self._context.wall_clock()
        is_crowded = len(self._by_lease) >= self._settings.upstream_connections_max
        if left_s <= 0 or is_crowded:
            code = ResultCode.QUEUE_FULL if is_crowded else ResultCode.DEADLINE_PASSED
            result = TryResult(SlotOutcome.UNUSED, code)
            self._give_back(running, slot, result, 0.0)
            return result
        task = Task(
            f"{self._context.get_incarnation()}-{next(self._ids)}",
            key.hex(),
            request.pool,
            slot.token,
            request.body,
            running.checkpoint,
        )
        running.tries += 1
        running.lease_id, running.host, running.address = slot.lease_id, slot.host, slot.address
        running.token, running.task_id = slot.token, task.id
        self._by_lease[slot.lease_id] = running
        started_at_s = asyncio.get_running_loop().time()
        self._context.events.note("sent", request.request_id, slot.host)
        result = TryResult(SlotOutcome.LOST, ResultCode.OUTCOME_UNKNOWN)
        try:
            result = await run_try(self._context.upstream, slot.address, task, left_s)
        finally:
            run_s = asyncio.get_running_loop().time() - started_at_s
            del self._by_lease[slot.lease_id]
            running.lease_id = running.task_id = ""
            if result.outcome is SlotOutcome.LOST:
                self._start_task(self._stop_and_give_back(running, slot, task, run_s))
            else:
                self._give_back(running, slot, result, run_s)
        self._context.events.note(
            result.outcome.name.lower(), request.request_id, slot.host, run_s * 1000
        )
        return result

    async def _stop_and_give_back(
        self, running: RunningRequest, slot: SlotReply, task: Task, run_s: float
    ) -> None:
        """Stop a task that nobody waits for, and say whether its slot is free."""
        token = max(slot.token, self._get_token(slot.host))
        call = ControlCall(ControlAction.STOP, token, task.id)
        is_stopped = await self._control(slot.address, call)
        outcome = SlotOutcome.TIMED_OUT if is_stopped else SlotOutcome.LOST
        self._give_back(running, slot, TryResult(outcome, ResultCode.OK), run_s)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _give_back(
        self, running: RunningRequest, slot: SlotReply, result: TryResult, run_s: float
    ) -> None:
        host = self._context.get_state().hosts.get(slot.host)
        self._dispatch.release(
            SlotRelease(
                running.request.pool,
                host.hall if host else self._context.hall,
                slot.lease_id,
                slot.host,
                result.outcome.value,
                run_s,
                running.digest,
            )
        )

    def _judge(
        self, running: RunningRequest, result: TryResult, slot: SlotReply
    ) -> CallerAnswer | None:
        """Return the final answer, or None where another try is safe and allowed."""
        if result.outcome is SlotOutcome.RAN:
            return CallerAnswer(ResultCode.RAN, result.body)
        if result.outcome is SlotOutcome.UNUSED:
            return answer_refused(running, result.code, 0.0)
        is_safe = result.outcome in SAFE_OUTCOMES
        if not is_safe:
            running.may_have_run = result
        if running.is_cancelled:
            return answer_cancelled(running)
        is_stopped = result.outcome is SlotOutcome.STOPPED
        if result.outcome in INTERRUPTED_OUTCOMES and (
            running.request.is_repeatable or not is_stopped
        ):
            running.checkpoint = result.body
            return None
        if not is_safe and not running.request.is_repeatable:
            return CallerAnswer(result.code, result.body)
        running.avoid = (*running.avoid, slot.host)
        if running.tries >= self._settings.tries_max or not self._retries.take():
            return answer_refused(running, ResultCode.RETRY_BUDGET_SPENT, 1.0)
        self._context.counters.add("retries")
        return None

    async def _back_off(self, running: RunningRequest) -> None:
        ceiling_s = min(
            self._settings.backoff_max_s, self._settings.backoff_min_s * 2**running.tries
        )
        await asyncio.sleep(self._context.random.uniform(0, ceiling_s))

    async def _join(self, running: RunningRequest, digest: bytes) -> CallerAnswer:
        if running.digest != digest:
            return CallerAnswer(ResultCode.BODY_DIFFERS)
        self._context.counters.add("duplicates")
        return await asyncio.shield(running.answer)

    def _keep(self, running: RunningRequest, answer: CallerAnswer) -> None:
        claim = running.claim
        if claim is None:
            return
        expires_at_s = claim.expires_at_s + self._settings.answer_keep_s
        entry = CachedAnswer(claim, answer, expires_at_s)
        self._answers.put(claim.key, entry, self._context.wall_clock())

    def _count(self, answer: CallerAnswer) -> CallerAnswer:
        self._context.counters.add(f"answers_{answer.code.family.name.lower()}")
        return answer

    async def _cancel_here(self, key: bytes) -> ResultCode | None:
        running = self._running.get(key)
        if running is None:
            cached = self._answers.get(key)
            return cached.answer.code if cached else None
        running.is_cancelled = True
        if running.slot_wait is not None:
            running.slot_wait.cancel()
        elif running.task_id:
            await self._interrupt(running, ControlAction.STOP)
        return (await asyncio.shield(running.answer)).code

    async def _interrupt(self, running: RunningRequest, action: ControlAction) -> bool:
        # A drain may have fenced the worker since the task was sent.
        token = max(running.token, self._get_token(running.host))
        return await self._control(running.address, ControlCall(action, token, running.task_id))

    def _get_token(self, name: str) -> int:
        state = self._context.get_state()
        host = state.hosts.get(name)
        return state.get_token(host) if host else 0

    async def _control(self, address: str, call: ControlCall) -> bool:
        try:
            return (await self._context.upstream.control(address, call)).is_done
        except (UpstreamUnsentError, UpstreamLostError):
            return False

    async def _on_preempt(self, sender: Sender, preempt: Preempt) -> None:
        running = self._by_lease.get(preempt.lease_id)
        if running is None:
            return
        is_done = await self._interrupt(running, ControlAction.CHECKPOINT)
        # Work that must not be repeated goes on from its checkpoint or stays.
        if not is_done and running.request.is_repeatable:
            await self._interrupt(running, ControlAction.STOP)

    async def _on_answer_ask(self, sender: Sender, ask: AnswerAsk) -> AnswerReply:
        answer = await self._find_answer(ask)
        return AnswerReply(answer.code, answer.body, answer.retry_after_s)

    async def _find_answer(self, ask: AnswerAsk) -> CallerAnswer:
        running = self._running.get(ask.key)
        if running is not None:
            if running.digest != ask.digest:
                return CallerAnswer(ResultCode.BODY_DIFFERS)
            try:
                return await asyncio.wait_for(asyncio.shield(running.answer), ask.wait_s)
            except TimeoutError:
                return CallerAnswer(ResultCode.ANSWER_TIMED_OUT)
        cached = self._answers.get(ask.key)
        if cached is None:
            return CallerAnswer(ResultCode.OUTCOME_UNKNOWN)
        if cached.claim.digest != ask.digest:
            return _DIFFERS
        return self._repeat_answer(cached)

    def _repeat_answer(self, cached: CachedAnswer) -> CallerAnswer:
        """Return a kept answer; release its claim again if the owner has missed that."""
        if cached.answer.code.family is Family.DID_NOT_RUN:
            self._claims.release(cached.claim)
        return cached.answer

    async def _on_cancel_ask(self, sender: Sender, ask: CancelAsk) -> CancelReply:
        code = await self._cancel_here(ask.key)
        return CancelReply(code if code is not None else ResultCode.NOT_FOUND)


_UNUSED = TryResult(SlotOutcome.UNUSED, ResultCode.OK)
_UNKNOWN = CallerAnswer(ResultCode.OUTCOME_UNKNOWN)
_DIFFERS = CallerAnswer(ResultCode.BODY_DIFFERS)
