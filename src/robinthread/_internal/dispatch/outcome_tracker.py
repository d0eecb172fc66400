"""Jobs and hosts that fail, derived from the outcomes of tasks."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

from robinthread._internal.dispatch.host_slots import HostSlots
from robinthread._internal.dispatch.run_estimate import RunEstimate
from robinthread._internal.dispatch.slot_outcome import SlotOutcome
from robinthread._internal.fold.kinds.host_set_aside import HostSetAside
from robinthread._internal.models.host import Host
from robinthread._internal.peers.messages import SlotRelease
from robinthread._internal.settings.dispatch_settings import DispatchSettings

if TYPE_CHECKING:
    from robinthread._internal.dispatch.dispatcher import DispatchContext

JOBS_MAX: Final = 4096


class JobFailureTracker:
    """Set aside jobs that fail on several hosts.

    A job that fails on several distinct hosts is taken as one that can never run.
    A host on which distinct jobs fail is the faulty part; see ``HostHealth``.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._hosts_failed_on: OrderedDict[bytes, set[str]] = OrderedDict()
        self._set_aside_until_s: OrderedDict[bytes, float] = OrderedDict()

    def is_set_aside(self, job: bytes, now_s: float) -> bool:
        """Return whether requests of the job are refused now."""
        return now_s < self._set_aside_until_s.get(job, -1e9)

    def record_outcome(self, outcome: SlotOutcome, job: bytes, host: str, now_s: float) -> bool:
        """Record an outcome on ``host``; return whether it set the job aside."""
        if outcome is SlotOutcome.RAN:
            self._hosts_failed_on.pop(job, None)
            return False
        if outcome is not SlotOutcome.RAN_FAILED:
            return False
        hosts = self._hosts_failed_on.setdefault(job, set())
        hosts.add(host)
        if len(self._hosts_failed_on) > JOBS_MAX:
            self._hosts_failed_on.popitem(last=False)
        if len(hosts) < self._settings.set_aside_after_hosts:
            return False
        self._set_aside_until_s[job] = now_s + self._settings.set_aside_s
        if len(self._set_aside_until_s) > JOBS_MAX:
            self._set_aside_until_s.popitem(last=False)
        return True


class OutcomeTracker:
    """Suspend hosts and set jobs aside by the outcomes of one pool's tasks.

    ``grant_waiting`` leases free slots when a suspension ends; ``start_task`` runs
    a coroutine in the background.
    """

    def __init__(
        self,
        pool: str,
        hosts: dict[str, HostSlots],
        context: DispatchContext,
        settings: DispatchSettings,
        grant_waiting: Callable[[], None],
        start_task: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self.estimate = RunEstimate(settings)
        self.jobs = JobFailureTracker(settings)
        self._pool = pool
        self._hosts = hosts
        self._context = context
        self._settings = settings
        self._grant_waiting = grant_waiting
        self._start_task = start_task

    def process_release(self, slots: HostSlots, outcome: SlotOutcome, release: SlotRelease) -> None:
        """Record how a task on a host ended, and suspend the host or set the job aside if due."""
        now_s = asyncio.get_running_loop().time()
        if outcome is SlotOutcome.RAN:
            self.estimate.record_run(release.run_s)
        is_short_timeout = (
            outcome is SlotOutcome.TIMED_OUT
            and release.run_s < self.estimate.mean_s * self._settings.slow_factor
        )
        if not is_short_timeout and slots.health.record_outcome(outcome, release.job, now_s):
            self._suspend(slots, now_s)
        if self.jobs.record_outcome(outcome, release.job, slots.host.name, now_s):
            self._context.counters.add("jobs_set_aside")
            for other in self._hosts.values():
                other.health.discard_failed_job(release.job)

    def _suspend(self, slots: HostSlots, now_s: float) -> None:
        self._context.counters.add("hosts_suspended")
        self._context.events.record("host_suspended", slots.host.name, self._pool)
        pause_s = slots.health.suspended_until_s - now_s
        asyncio.get_running_loop().call_later(pause_s, self._grant_waiting)
        if slots.health.suspensions >= self._settings.set_aside_after_suspensions:
            self._start_task(self._set_aside(slots.host))

    async def _set_aside(self, host: Host) -> None:
        """Publish that a host that keeps failing is to be set aside; its budget may forbid it."""
        if host.is_serving:
            self._context.counters.add("hosts_set_aside_asked")
            await self._context.publish(HostSetAside(host.name, host.token))
