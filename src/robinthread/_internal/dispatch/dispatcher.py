"""The dispatcher of one pool in one data hall."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final

from robinthread._internal.dispatch.host_health import HostHealth
from robinthread._internal.dispatch.host_selector import HostSelector
from robinthread._internal.dispatch.host_slots import HostSlots, pick_victim
from robinthread._internal.dispatch.outcome_tracker import OutcomeTracker
from robinthread._internal.dispatch.slot_lease import SlotLease
from robinthread._internal.dispatch.slot_outcome import SlotOutcome
from robinthread._internal.dispatch.waiting_queue import TeamSlots, WaitingQueue, WaitingRequest
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host import Host
from robinthread._internal.models.urgency import Urgency
from robinthread._internal.peers.messages import Preempt, SlotRelease, SlotReply, SlotRequest
from robinthread._internal.peers.router import PeerRouter, Sender
from robinthread._internal.results import ResultCode
from robinthread._internal.settings.dispatch_settings import DispatchSettings
from robinthread._internal.telemetry.counters import Counters
from robinthread._internal.timeline.event_ring import EventRing
from robinthread._internal.upstream.control import ControlAction, ControlCall
from robinthread._internal.upstream.errors import UpstreamLostError, UpstreamUnsentError
from robinthread._internal.upstream.service import UpstreamService

RETRY_AFTER_MIN_S: Final = 0.05


@dataclass(frozen=True)
class DispatchContext:
    """Dependencies that a dispatcher gets from its daemon."""

    hall: str
    get_state: Callable[[], FleetState]
    upstream: UpstreamService
    router: PeerRouter
    wall_clock: Callable[[], float]
    make_id: Callable[[], str]
    counters: Counters
    events: EventRing
    publish: Callable[[object], Awaitable[None]]


class Dispatcher:
    """Lease the slots of a pool's hosts in one data hall.

    One daemon at a time is the dispatcher, so there is one queue, limits are
    exact, and all outcomes of a host are recorded in one place.  Workers check
    fencing tokens, which stops an earlier dispatcher without relying on time.
    """

    def __init__(self, pool: str, context: DispatchContext, settings: DispatchSettings) -> None:
        self.pool = pool
        self.queue = WaitingQueue()
        self.hosts: dict[str, HostSlots] = {}
        self._context = context
        self._settings = settings
        self._teams = TeamSlots(context.get_state)
        self._selector = HostSelector(self.hosts, settings)
        self._outcomes = OutcomeTracker(
            pool, self.hosts, context, settings, self.grant_waiting, self._start_task
        )
        self.estimate = self._outcomes.estimate
        self._tasks: set[asyncio.Task[None]] = set()
        self._lease_ids = itertools.count(1)
        self._lease_prefix = context.make_id()

    def update(self, hosts: tuple[Host, ...]) -> None:
        """Update the pool's hosts in this data hall; hosts that stay keep their leases."""
        names = {host.name for host in hosts}
        for name in tuple(self.hosts):
            if name not in names:
                del self.hosts[name]
        for host in hosts:
            found = self.hosts.get(host.name)
            if found is None:
                self.hosts[host.name] = HostSlots(host, HostHealth(self._settings))
            else:
                found.host = host
        self.grant_waiting()

    async def request_slot(self, sender: Sender, request: SlotRequest) -> SlotReply:
        """Lease a slot, at once or when one becomes free, or refuse the request early."""
        refusal = self._refuse(request) or self._refuse_to_queue(request)
        if refusal is not None:
            self._context.counters.add(f"slot_refusals_{refusal.code}")
            return refusal
        loop = asyncio.get_running_loop()
        waiting = WaitingRequest(
            request, sender.name, sender.address, sender.frame_id, loop.time(), loop.create_future()
        )
        self.queue.put(waiting)
        self.grant_waiting()
        if not waiting.future.done():
            self._set_timers(waiting)
        try:
            return await waiting.future
        finally:
            self.queue.remove(waiting)

    def cancel(self, sender: Sender, frame_id: int) -> None:
        """Cancel the waiting request that ``sender`` sent in frame ``frame_id``."""
        for waiting in self.queue.iter_all():
            if waiting.sender_name == sender.name and waiting.frame_id == frame_id:
                self._finish(waiting, SlotReply(ResultCode.CANCELLED_BEFORE_START))

    def release(self, release: SlotRelease) -> None:
        """Free a leased slot and record the outcome of its task."""
        slots = self.hosts.get(release.host)
        outcome = SlotOutcome(release.outcome)
        if slots is None:
            return
        lease = slots.release(release.lease_id)
        if lease is not None:
            self._teams.remove_slot(lease.team)
            if outcome is SlotOutcome.LOST:
                slots.add_unattributed()
        self._outcomes.process_release(slots, outcome, release)
        if outcome is SlotOutcome.NOT_STARTED:
            self._recount(slots)
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Lease free slots to waiting requests in the order of the queue."""
        while True:
            waiting = self._pick_next()
            if waiting is None:
                return
            slots = self._selector.pick(waiting.request)
            assert slots is not None
            self._grant(waiting, slots)

    def steer(self, names: tuple[str, ...], order: tuple[str, ...], done: frozenset[str]) -> None:
        """Steer new work away from the hosts ``names``; see ``HostSelector.steer``."""
        self._selector.steer(names, order, done)

    def get_steered_s(self, name: str) -> float:
        """Return for how many seconds work has been steered away from a host."""
        return self._selector.get_steered_s(name)

    def refuse_all(self, code: ResultCode) -> None:
        """Refuse every waiting request, for example when another daemon takes over dispatching."""
        for waiting in self.queue.iter_all():
            self._finish(waiting, SlotReply(code, retry_after_s=RETRY_AFTER_MIN_S))

    async def query_slots_in_use(self, name: str) -> None:
        """Read from the worker's report how many slots are in use without a lease.

        A worker that refuses this dispatcher's fencing token has accepted that of a
        later dispatcher, so this dispatcher leases none of its slots.
        """
        slots = self.hosts.get(name)
        if slots is None or slots.is_counted:
            return
        upstream = self._context.upstream
        try:
            fence = ControlCall(
                ControlAction.FENCE, self._context.get_state().get_token(slots.host)
            )
            if not (await upstream.control(slots.host.address, fence)).is_done:
                return
            report = await upstream.report(slots.host.address)
            slots.unattributed = max(0, report.slots_in_use - len(slots.leases))
        except (UpstreamUnsentError, UpstreamLostError):
            return
        slots.is_counted = True
        self.grant_waiting()

    def reconcile(self, name: str, reported: int) -> None:
        """Reclaim leases of a host that its worker's reports do not confirm."""
        slots = self.hosts.get(name)
        if slots is None:
            return
        for lease in slots.reconcile(reported, asyncio.get_running_loop().time()):
            self._teams.remove_slot(lease.team)
            self._context.counters.add("leases_reclaimed")
        self.grant_waiting()

    def _recount(self, slots: HostSlots) -> None:
        """Lease no slot of a host that refused a task until its report has been read."""
        slots.is_counted = False
        self._start_task(self.query_slots_in_use(slots.host.name))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def count_idle_slots(self) -> int:
        """Return the number of free slots on hosts that may get work."""
        return self._selector.count_idle_slots()

    def _refuse(self, request: SlotRequest) -> SlotReply | None:
        now_s = asyncio.get_running_loop().time()
        serving = [slots for slots in self.hosts.values() if slots.host.is_serving]
        if not serving:
            return SlotReply(ResultCode.NO_HOST_REACHABLE, retry_after_s=1.0)
        if self._outcomes.jobs.is_set_aside(request.job, now_s):
            return SlotReply(ResultCode.JOB_CANNOT_RUN, retry_after_s=self._settings.set_aside_s)
        if len(self.queue) >= self._settings.queue_max:
            return SlotReply(ResultCode.QUEUE_FULL, retry_after_s=self._estimate_wait_s(request))
        wait_s = self._estimate_wait_s(request)
        left_s = request.deadline_at_s - self._context.wall_clock()
        if left_s <= 0:
            return SlotReply(ResultCode.DEADLINE_PASSED)
        if wait_s + self.estimate.get_min_time_left_s() > left_s:
            return SlotReply(
                ResultCode.DEADLINE_UNREACHABLE, retry_after_s=max(RETRY_AFTER_MIN_S, wait_s)
            )
        return None

    def _refuse_to_queue(self, request: SlotRequest) -> SlotReply | None:
        if request.may_wait or (
            not self.queue.count_ahead(request.urgency)
            and not self._teams.is_over_quota(request.team)
            and (found := self._selector.pick(request)) is not None
            and not self._selector.is_steered(found.host.name)
        ):
            return None
        return SlotReply(ResultCode.NO_SLOT_FREE, retry_after_s=self._estimate_wait_s(request))

    def _estimate_wait_s(self, request: SlotRequest) -> float:
        limit = sum(slots.limit for slots in self.hosts.values() if slots.host.is_serving)
        ahead = self.queue.count_ahead(request.urgency) + 1 - self.count_idle_slots()
        if request.urgency == Urgency.URGENT:
            # Less urgent work is preempted, so urgent requests wait only for each other.
            return max(0, self.queue.count_class(request.urgency)) * self.estimate.mean_s / limit
        return max(0, ahead) * self.estimate.mean_s / max(1, limit)

    def _pick_next(self) -> WaitingRequest | None:
        for waiting in tuple(self.queue.iter_heads(self._teams.get_share)):
            left_s = waiting.request.deadline_at_s - self._context.wall_clock()
            if left_s < self.estimate.get_min_time_left_s():
                retry_after_s = max(RETRY_AFTER_MIN_S, self._estimate_wait_s(waiting.request))
                self._finish(
                    waiting,
                    SlotReply(ResultCode.DEADLINE_UNREACHABLE, retry_after_s=retry_after_s),
                )
                return self._pick_next()
            if self._teams.is_over_quota(waiting.request.team):
                continue
            if self._selector.pick(waiting.request) is not None:
                return waiting
        return None

    def _grant(self, waiting: WaitingRequest, slots: HostSlots) -> None:
        request = waiting.request
        now_s = asyncio.get_running_loop().time()
        left_s = request.deadline_at_s - self._context.wall_clock()
        lease = SlotLease(
            f"{self._lease_prefix}-{next(self._lease_ids)}",
            waiting.sender_address,
            request.team,
            request.urgency,
            request.is_repeatable,
            now_s,
            now_s + left_s + self._settings.lease_grace_s,
        )
        slots.leases[lease.id] = lease
        self._teams.add_slot(request.team)
        self._context.counters.add("slots_leased")
        reply = SlotReply(
            ResultCode.OK,
            lease.id,
            slots.host.name,
            slots.host.address,
            self._context.get_state().get_token(slots.host),
        )
        self._finish(waiting, reply)

    def _finish(self, waiting: WaitingRequest, reply: SlotReply) -> None:
        self.queue.remove(waiting)
        if not waiting.future.done():
            waiting.future.set_result(reply)

    def _set_timers(self, waiting: WaitingRequest) -> None:
        """Start the timers of a waiting request: its deadline and, if urgent, preemption."""
        loop = asyncio.get_running_loop()
        left_s = max(0.0, waiting.request.deadline_at_s - self._context.wall_clock())
        loop.call_later(left_s, self._finish, waiting, SlotReply(ResultCode.DEADLINE_PASSED))
        if waiting.request.urgency == Urgency.URGENT:
            loop.call_later(self._settings.preempt_after_s, self._preempt_for, waiting)

    def _preempt_for(self, waiting: WaitingRequest) -> None:
        if waiting.future.done():
            return
        victim = pick_victim(self.hosts.values())
        if victim is None:
            return
        slots, lease = victim
        slots.mark_preempted(lease.id)
        self._context.counters.add("preemptions")
        self._context.events.record("preempt", lease.id, slots.host.name)
        loop = asyncio.get_running_loop()
        self._context.router.send_notice(lease.holder_address, Preempt(lease.id))
        loop.call_later(self._settings.preempt_after_s, self._preempt_for, waiting)
