"""The dispatchers that a daemon runs, and its slot requests to dispatchers of any daemon."""

import asyncio
from collections.abc import Callable
from typing import Final

from robinthread._internal.dispatch.dispatcher import DispatchContext, Dispatcher
from robinthread._internal.dispatch.slot_outcome import SlotOutcome
from robinthread._internal.fold.kinds.host_failed import HostFailed
from robinthread._internal.fold.kinds.host_recovered import HostRecovered
from robinthread._internal.models.daemon_member import DaemonMember
from robinthread._internal.models.host import Host
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.peers.messages import (
    AnyMessage,
    SlotRelease,
    SlotReply,
    SlotRequest,
    SlotRequestCancel,
)
from robinthread._internal.peers.router import PeerTimeoutError, Sender
from robinthread._internal.results import ResultCode
from robinthread._internal.settings.dispatch_settings import DispatchSettings
from robinthread._internal.upstream.errors import UpstreamLostError, UpstreamUnsentError
from robinthread._internal.utils.rendezvous import pick_by_rendezvous

FAILABLE_PHASES: Final = (HostPhase.SERVING, HostPhase.PERMITTED, HostPhase.DRAINING)


class DispatchService:
    """Run the dispatchers assigned to this daemon; request slots from any dispatcher.

    The dispatcher of a pool in a data hall runs on one of the hall's own daemons,
    so a hall that is cut off continues to serve from its own hosts.
    """

    def __init__(
        self,
        name: str,
        context: DispatchContext,
        settings: DispatchSettings,
        is_reachable: Callable[[DaemonMember], bool],
    ) -> None:
        self.dispatchers: dict[str, Dispatcher] = {}
        self._name = name
        self._context = context
        self._settings = settings
        self._is_reachable = is_reachable
        self._publish = context.publish
        self._host_monitors: dict[str, asyncio.Task[None]] = {}
        self._no_report_since_s: dict[str, float] = {}
        router = context.router
        router.on(SlotRequest, self._on_slot_request)
        router.on_notice(SlotRequestCancel, self._on_cancel)
        router.on_notice(SlotRelease, self._on_release)
        router.on_late_reply(self._on_late_reply)

    def update_dispatchers(self) -> None:
        """Start, update and stop dispatchers after a change of the fleet state."""
        pools: dict[str, list[Host]] = {}
        for _, host in sorted(self._context.get_state().hosts.items()):
            if host.hall == self._context.hall and host.pool:
                pools.setdefault(host.pool, []).append(host)
        for pool, hosts in pools.items():
            if self.get_dispatching_daemon(pool, self._context.hall) == self._name:
                self._run_dispatcher(pool, tuple(hosts))
        for pool in tuple(self.dispatchers):
            daemon_name = self.get_dispatching_daemon(pool, self._context.hall)
            if pool not in pools or daemon_name != self._name:
                self.dispatchers.pop(pool).refuse_all(ResultCode.NOT_READY)

    def get_dispatching_daemon(self, pool: str, hall: str) -> str:
        """Return the name of the daemon that dispatches ``pool`` in ``hall``, "" if none can."""
        members = self._context.get_state().iter_hall_daemons(hall)
        return pick_by_rendezvous(pool, [member.name for member in members])

    async def request_slot(self, hall: str, request: SlotRequest, timeout_s: float) -> SlotReply:
        """Request a slot from the pool's dispatcher in ``hall``.

        The code is ``NO_HOST_REACHABLE`` if its daemon is unreachable or does not
        reply within ``timeout_s``.
        """
        member = self._context.get_state().daemons.get(
            self.get_dispatching_daemon(request.pool, hall)
        )
        if member is None or not self._is_reachable(member):
            return SlotReply(ResultCode.NO_HOST_REACHABLE, retry_after_s=1.0)
        try:
            reply = await self._context.router.send_request(
                member.peer_address,
                request,
                timeout_s,
                lambda frame_id: SlotRequestCancel(request.pool, request.hall, frame_id),
            )
        except PeerTimeoutError:
            return SlotReply(ResultCode.NO_HOST_REACHABLE, retry_after_s=1.0)
        assert isinstance(reply, SlotReply)
        return reply

    def release(self, release: SlotRelease) -> None:
        """Send the release of a slot to the daemon that dispatches its pool now.

        This may be another daemon than the one that granted the slot.
        """
        daemon_name = self.get_dispatching_daemon(release.pool, release.hall)
        member = self._context.get_state().daemons.get(daemon_name)
        if member is not None:
            self._context.router.send_notice(member.peer_address, release)

    def close(self) -> None:
        """Cancel the monitors of all hosts."""
        for task in self._host_monitors.values():
            task.cancel()

    def _run_dispatcher(self, pool: str, hosts: tuple[Host, ...]) -> None:
        dispatcher = self.dispatchers.get(pool)
        if dispatcher is None:
            dispatcher = self.dispatchers[pool] = Dispatcher(pool, self._context, self._settings)
            self._context.events.record("dispatcher_started", pool)
        dispatcher.update(hosts)
        loop = asyncio.get_running_loop()
        for host in hosts:
            monitor = self._host_monitors.get(host.name)
            if monitor is None or monitor.done():
                self._host_monitors[host.name] = loop.create_task(
                    self._monitor_host(pool, host.name)
                )

    async def _monitor_host(self, pool: str, name: str) -> None:
        """Poll one host's reports, and publish its failure and its recovery."""
        await asyncio.sleep(self._settings.takeover_wait_s)
        while True:
            dispatcher = self.dispatchers.get(pool)
            if dispatcher is None or name not in dispatcher.hosts:
                return
            await dispatcher.query_slots_in_use(name)
            await self._poll_report(dispatcher, name)
            await asyncio.sleep(self._settings.report_interval_s)

    async def _poll_report(self, dispatcher: Dispatcher, name: str) -> None:
        slots = dispatcher.hosts.get(name)
        if slots is None:
            return
        now_s = asyncio.get_running_loop().time()
        try:
            report = await self._context.upstream.report(slots.host.address)
        except (UpstreamUnsentError, UpstreamLostError):
            await self._record_missing_report(slots.host, now_s)
            return
        self._no_report_since_s.pop(name, None)
        dispatcher.reconcile(name, report.slots_in_use)
        if slots.host.phase is HostPhase.FAILED:
            await self._publish(HostRecovered(name, slots.host.token))

    async def _record_missing_report(self, host: Host, now_s: float) -> None:
        if host.phase not in FAILABLE_PHASES:
            self._no_report_since_s.pop(host.name, None)
            return
        since_s = self._no_report_since_s.setdefault(host.name, now_s)
        if now_s - since_s >= self._settings.host_fail_after_s:
            self._context.events.record("host_silent", host.name, host.pool)
            await self._publish(HostFailed(host.name, host.token))

    async def _on_slot_request(self, sender: Sender, request: SlotRequest) -> SlotReply:
        dispatcher = self.dispatchers.get(request.pool)
        if dispatcher is None or request.hall != self._context.hall:
            return SlotReply(ResultCode.NOT_READY, retry_after_s=0.1)
        return await dispatcher.request_slot(sender, request)

    def _on_cancel(self, sender: Sender, cancel: SlotRequestCancel) -> None:
        dispatcher = self.dispatchers.get(cancel.pool)
        if dispatcher is not None:
            dispatcher.cancel(sender, cancel.frame_id)

    def _on_release(self, sender: Sender, release: SlotRelease) -> None:
        dispatcher = self.dispatchers.get(release.pool)
        if dispatcher is not None:
            dispatcher.release(release)

    def _on_late_reply(self, address: str, message: AnyMessage) -> None:
        """Release a slot lease whose requester has stopped waiting for the reply."""
        if isinstance(message, SlotReply) and message.code == ResultCode.OK:
            host = self._context.get_state().hosts.get(message.host)
            if host is None:
                return
            release = SlotRelease(
                host.pool, host.hall, message.lease_id, host.name, SlotOutcome.UNUSED, 0.0, b""
            )
            self._context.router.send_notice(address, release)
