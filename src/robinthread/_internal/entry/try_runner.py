"""Tries of requests on workers, from the lease of a slot to its release."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

from robinthread._internal.dispatch.dispatch_service import DispatchService
from robinthread._internal.dispatch.slot_outcome import SlotOutcome
from robinthread._internal.entry.running_request import RunningRequest
from robinthread._internal.entry.try_result import TryResult
from robinthread._internal.entry.worker_try import run_try
from robinthread._internal.peers.messages import Preempt, SlotRelease, SlotReply
from robinthread._internal.results import ResultCode
from robinthread._internal.settings.entry_settings import EntrySettings
from robinthread._internal.upstream.control import ControlAction, ControlCall
from robinthread._internal.upstream.errors import UpstreamLostError, UpstreamUnsentError
from robinthread._internal.upstream.task import Task

if TYPE_CHECKING:
    from robinthread._internal.entry.entry_service import EntryContext

_UNUSED: Final = TryResult(SlotOutcome.UNUSED, ResultCode.OK)


class TryRunner:
    """Send tasks to workers, interrupt them and release their slots.

    ``next_id`` returns a number that is unique within the daemon's incarnation.
    """

    def __init__(
        self,
        context: EntryContext,
        settings: EntrySettings,
        dispatch: DispatchService,
        next_id: Callable[[], int],
    ) -> None:
        self._context = context
        self._settings = settings
        self._dispatch = dispatch
        self._next_id = next_id
        self._by_lease: dict[str, RunningRequest] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, running: RunningRequest, key: bytes, slot: SlotReply) -> TryResult:
        """Run one try on the slot's host until its answer or the deadline; release the slot."""
        request = running.request
        left_s = request.deadline_at_s - self._context.wall_clock()
        is_at_connection_limit = len(self._by_lease) >= self._settings.upstream_connections_max
        if left_s <= 0 or is_at_connection_limit:
            code = ResultCode.QUEUE_FULL if is_at_connection_limit else ResultCode.DEADLINE_PASSED
            result = TryResult(SlotOutcome.UNUSED, code)
            self._release_slot(running, slot, result, 0.0)
            return result
        task = Task(
            f"{self._context.get_incarnation()}-{self._next_id()}",
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
        self._context.events.record("sent", request.request_id, slot.host)
        result = TryResult(SlotOutcome.LOST, ResultCode.OUTCOME_UNKNOWN)
        try:
            result = await run_try(self._context.upstream, slot.address, task, left_s)
        finally:
            run_s = asyncio.get_running_loop().time() - started_at_s
            del self._by_lease[slot.lease_id]
            running.lease_id = running.task_id = ""
            if result.outcome is SlotOutcome.LOST:
                self._start_task(self._stop_and_release_slot(running, slot, task, run_s))
            else:
                self._release_slot(running, slot, result, run_s)
        self._context.events.record(
            result.outcome.name.lower(), request.request_id, slot.host, run_s * 1000
        )
        return result

    def release_unused_slot(self, running: RunningRequest, slot: SlotReply) -> None:
        """Release a leased slot to which no task was sent."""
        self._release_slot(running, slot, _UNUSED, 0.0)

    async def interrupt(self, running: RunningRequest, action: ControlAction) -> bool:
        """Stop or checkpoint the running task of a request; return whether the worker did so."""
        # A drain may have fenced the worker with a newer token since the task was sent.
        token = max(running.token, self._get_token(running.host))
        return await self._control(running.address, ControlCall(action, token, running.task_id))

    async def preempt(self, preempt: Preempt) -> None:
        """Preempt a task at the request of the slot's dispatcher."""
        running = self._by_lease.get(preempt.lease_id)
        if running is None:
            return
        is_done = await self.interrupt(running, ControlAction.CHECKPOINT)
        # A task that must not be repeated keeps running if it cannot be checkpointed.
        if not is_done and running.request.is_repeatable:
            await self.interrupt(running, ControlAction.STOP)

    async def _stop_and_release_slot(
        self, running: RunningRequest, slot: SlotReply, task: Task, run_s: float
    ) -> None:
        """Stop a task whose answer was lost, then release its slot.

        The outcome is ``TIMED_OUT`` if the worker confirmed the stop, so that the slot is
        free, and otherwise ``LOST``.
        """
        token = max(slot.token, self._get_token(slot.host))
        call = ControlCall(ControlAction.STOP, token, task.id)
        is_stopped = await self._control(slot.address, call)
        outcome = SlotOutcome.TIMED_OUT if is_stopped else SlotOutcome.LOST
        self._release_slot(running, slot, TryResult(outcome, ResultCode.OK), run_s)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _release_slot(
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

    def _get_token(self, name: str) -> int:
        state = self._context.get_state()
        host = state.hosts.get(name)
        return state.get_token(host) if host else 0

    async def _control(self, address: str, call: ControlCall) -> bool:
        try:
            return (await self._context.upstream.control(address, call)).is_done
        except (UpstreamUnsentError, UpstreamLostError):
            return False
