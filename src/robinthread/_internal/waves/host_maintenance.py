"""Maintenance of one host, from its permit to its return to service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from returns.result import Success

from robinthread._internal.fold.kinds.drain_started import DrainStarted
from robinthread._internal.fold.kinds.host_drained import HostDrained
from robinthread._internal.fold.kinds.host_failed import HostFailed
from robinthread._internal.fold.kinds.host_returned import HostReturned
from robinthread._internal.models.host import Host
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.settings.wave_settings import WaveSettings
from robinthread._internal.upstream.control import ControlAction, ControlCall
from robinthread._internal.upstream.errors import UpstreamLostError, UpstreamUnsentError

if TYPE_CHECKING:
    from robinthread._internal.dispatch.dispatcher import Dispatcher
    from robinthread._internal.waves.steward import StewardContext

DRAINED_CHECK_S: Final = 0.1
RETURN_CHECK_S: Final = 0.2


class HostMaintenance:
    """Drains a host, reboots or releases it, and verifies its return.

    Every step is published with the host's token and takes effect only if the host's phase
    and token in the fold still match, so each step is done once.
    """

    def __init__(
        self,
        context: StewardContext,
        settings: WaveSettings,
        move_overdue: Callable[[Dispatcher, tuple[str, ...]], None],
    ) -> None:
        self._context = context
        self._settings = settings
        self._move_overdue = move_overdue

    async def advance(self, name: str) -> None:
        """Carry out a host's remaining steps; return once none is left for this daemon."""
        steps = {
            HostPhase.PERMITTED: self._start_drain,
            HostPhase.DRAINING: self._drain,
            HostPhase.OUT: self._reboot,
        }
        while True:
            host = self._context.get_state().hosts.get(name)
            if host is None or host.phase not in steps or not self._context.owns_pool(host.pool):
                return
            if not await steps[host.phase](host):
                await asyncio.sleep(self._settings.steward_interval_s)

    async def _start_drain(self, host: Host) -> bool:
        """Wait until the permit takes effect on all daemons, then start the drain.

        If the permit is revoked meanwhile, the record of the start has no effect.
        """
        idle = host.slots - self._count_in_use(host)
        await asyncio.sleep(self._settings.permit_effect_s)
        self._context.measures.record_held_back(idle, self._settings.permit_effect_s)
        return await self._publish_step(DrainStarted(host.name, host.token))

    async def _drain(self, host: Host) -> bool:
        await fence(self._context, host)
        while not await self._is_empty(host):
            dispatcher = self._context.get_dispatchers().get(host.pool)
            if dispatcher is not None:
                self._move_overdue(dispatcher, (host.name,))
            if not self._is_unchanged(host):
                return False
            idle = host.slots - self._count_in_use(host)
            await asyncio.sleep(DRAINED_CHECK_S)
            self._context.measures.record_held_back(idle, DRAINED_CHECK_S)
        self._context.events.record("drained", host.name, host.wave)
        boot_id = await read_boot_id(self._context, host)
        return await self._publish_step(HostDrained(host.name, host.token, boot_id))

    async def _reboot(self, host: Host) -> bool:
        """Reboot the host once, and verify that its worker reports a new boot id."""
        started_at_s = asyncio.get_running_loop().time()
        if await read_boot_id(self._context, host) == host.boot_id:
            await reboot(self._context, host)
        while self._is_unchanged(host):
            boot_id = await read_boot_id(self._context, host)
            if boot_id and boot_id != host.boot_id:
                self._context.events.record("returned", host.name, host.wave)
                return await self._publish_step(HostReturned(host.name, host.token))
            if asyncio.get_running_loop().time() - started_at_s > self._settings.return_timeout_s:
                self._context.events.record("not_returned", host.name, host.wave)
                self._context.counters.add("hosts_not_returned")
                return await self._publish_step(HostFailed(host.name, host.token))
            await asyncio.sleep(RETURN_CHECK_S)
            self._context.measures.record_held_back(host.slots, RETURN_CHECK_S)
        return False

    async def _publish_step(self, body: object) -> bool:
        if not self._context.is_fresh():
            return False
        return isinstance(await self._context.publish(body), Success)

    async def _is_empty(self, host: Host) -> bool:
        """Tell whether the host is idle, by the dispatcher's count and by the worker's report.

        The report is needed because the count of a dispatcher that has just taken over the
        pool is incomplete.
        """
        if self._count_in_use(host) > 0:
            return False
        return await is_idle(self._context, host)

    def _count_in_use(self, host: Host) -> int:
        dispatcher = self._context.get_dispatchers().get(host.pool)
        slots = dispatcher.hosts.get(host.name) if dispatcher else None
        return slots.in_use if slots else 0

    def _is_unchanged(self, host: Host) -> bool:
        current = self._context.get_state().hosts.get(host.name)
        return (
            current is not None
            and current.token == host.token
            and current.phase is host.phase
            and self._context.owns_pool(host.pool)
        )


async def fence(context: StewardContext, host: Host) -> None:
    """Make a worker reject tasks that were granted under an older fencing token."""
    await _control(context, host, ControlCall(ControlAction.FENCE, host.token))


async def reboot(context: StewardContext, host: Host) -> None:
    """Request a worker to reboot its host."""
    await _control(context, host, ControlCall(ControlAction.REBOOT, host.token))


async def read_boot_id(context: StewardContext, host: Host) -> str:
    """Return a host's boot id, or an empty string if its worker does not respond."""
    try:
        return (await context.upstream.report(host.address)).boot_id
    except (UpstreamUnsentError, UpstreamLostError):
        return ""


async def is_idle(context: StewardContext, host: Host) -> bool:
    """Tell whether a worker reports no slots in use; False if it does not respond."""
    try:
        return (await context.upstream.report(host.address)).slots_in_use == 0
    except (UpstreamUnsentError, UpstreamLostError):
        return False


async def _control(context: StewardContext, host: Host, call: ControlCall) -> None:
    try:
        await context.upstream.control(host.address, call)
    except (UpstreamUnsentError, UpstreamLostError):
        context.counters.add("control_calls_failed")
