"""The steward: carries out waves on the hosts of a daemon's pools in one data hall."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import Final

from returns.result import Result, Success

from robinthread._internal.dispatch.dispatcher import Dispatcher
from robinthread._internal.dispatch.host_slots import HostSlots
from robinthread._internal.dispatch.slot_lease import SlotLease
from robinthread._internal.fold.folder import FoldedRecord
from robinthread._internal.fold.kinds.drain_permitted import DrainPermitted
from robinthread._internal.fold.kinds.host_assigned import HostAssigned
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host import Host
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.models.wave import Wave, WaveState
from robinthread._internal.peers.messages import Preempt
from robinthread._internal.results import Fault
from robinthread._internal.settings.wave_settings import WaveSettings
from robinthread._internal.telemetry.counters import Counters
from robinthread._internal.timeline.event_ring import EventRing
from robinthread._internal.upstream.service import UpstreamService
from robinthread._internal.waves.host_maintenance import HostMaintenance, fence, read_boot_id
from robinthread._internal.waves.host_view import HostView
from robinthread._internal.waves.measures import WaveMeasures
from robinthread._internal.waves.policy import make_policy
from robinthread._internal.waves.pool_view import PoolView

HELD_PHASES: Final = (HostPhase.PERMITTED, HostPhase.DRAINING, HostPhase.OUT)

Publish = Callable[[object], Awaitable[Result[FoldedRecord, Fault]]]


@dataclass(frozen=True)
class StewardContext:
    """The state and the functions of the daemon that the steward uses.

    ``is_fresh`` returns False if the log has been unreachable for too long; no new steps are
    started then.  ``tell_holder`` requests the holder of a lease to end a task.
    """

    hall: str
    get_state: Callable[[], FleetState]
    is_fresh: Callable[[], bool]
    get_dispatchers: Callable[[], dict[str, Dispatcher]]
    owns_free_hosts: Callable[[], bool]
    publish: Publish
    tell_holder: Callable[[str, Preempt], None]
    upstream: UpstreamService
    counters: Counters
    events: EventRing
    measures: WaveMeasures

    def owns_pool(self, pool: str) -> bool:
        """Tell whether this daemon dispatches a pool here; an empty name means the free hosts."""
        if not pool:
            return self.owns_free_hosts()
        return pool in self.get_dispatchers()


class Steward:
    """Requests permits; drains, reboots or releases hosts, and verifies their return.

    The daemon that dispatches a pool in the data hall runs one asyncio task for each of the
    pool's hosts with a permit, and a new dispatcher starts these tasks again.  Every step
    checks the host's phase and token in the fold, so each step is done once.
    """

    def __init__(self, context: StewardContext, settings: WaveSettings) -> None:
        self._context = context
        self._settings = settings
        self._policy = make_policy(settings)
        self._maintenance = HostMaintenance(context, settings, self._move_overdue)
        self._fenced: dict[str, int] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Check periodically for permits to request and hosts to drain, until cancelled."""
        while True:
            if self._context.is_fresh():
                await self._request_permits()
                await self._assign_arrivals()
            self._start_tasks()
            await self._drain_leaving_hosts()
            await asyncio.sleep(self._settings.steward_interval_s)

    def close(self) -> None:
        """Cancel the maintenance tasks of all hosts."""
        for task in self._tasks.values():
            task.cancel()

    async def _request_permits(self) -> None:
        state = self._context.get_state()
        running = [wave for wave in state.waves.values() if wave.state is WaveState.RUNNING]
        turns = [(wave, pool) for wave in running for pool in self._list_pools(state, wave)]
        self._stop_steering({pool for _, pool in turns})
        for wave, pool in turns:
            await self._request_pool_permits(wave, pool)

    def _stop_steering(self, pools_in_waves: set[str]) -> None:
        for pool, dispatcher in self._context.get_dispatchers().items():
            if pool not in pools_in_waves:
                dispatcher.steer((), (), frozenset())

    async def _request_pool_permits(self, wave: Wave, pool: str) -> None:
        """Steer work and request permits for a pool as chosen by the policy."""
        view = self._make_view(wave, pool)
        choice = self._policy(view)
        dispatcher = self._context.get_dispatchers().get(pool)
        if dispatcher is not None:
            dispatcher.steer(choice.steer, choice.order, wave.done)
            self._move_overdue(dispatcher, choice.empty)
        for name in choice.permit:
            state = self._context.get_state()
            host = state.hosts.get(name)
            if host is None or not _is_budget_met_without(state, pool, (name,)):
                continue
            result = await self._context.publish(DrainPermitted(name, wave.name, host.token))
            if not isinstance(result, Success):
                self._context.counters.add("permits_refused")
                return
            self._context.counters.add("permits_granted")
            self._context.events.record("permitted", name, wave.name)

    def _make_view(self, wave: Wave, pool: str) -> PoolView:
        state = self._context.get_state()
        dispatcher = self._context.get_dispatchers().get(pool)
        hosts = tuple(self._iter_wave_hosts(state, wave, pool))
        ready = (HostPhase.SERVING, HostPhase.SET_ASIDE, HostPhase.FREE)
        return PoolView(
            tuple(_make_host_view(host, dispatcher) for host in hosts if host.phase in ready),
            sum(host.phase in HELD_PHASES for host in hosts),
            dispatcher.count_idle_slots() if dispatcher else 0,
            wave.hosts,
            wave.done,
            lambda names: _is_budget_met_without(state, pool, names),
        )

    async def _assign_arrivals(self) -> None:
        """Assign free hosts of this data hall to the pools that migrate to it."""
        if not self._context.owns_free_hosts():
            return
        for wave in tuple(self._context.get_state().waves.values()):
            if wave.state is not WaveState.RUNNING or wave.to_hall != self._context.hall:
                continue
            await self._assign_for(wave)

    async def _assign_for(self, wave: Wave) -> None:
        state = self._context.get_state()
        busy = {
            name for other in state.waves.values() if other.is_unfinished for name in other.waiting
        }
        free = [
            host
            for _, host in sorted(state.hosts.items())
            if host.hall == wave.to_hall and host.phase is HostPhase.FREE and host.name not in busy
        ]
        assigned_count = sum(
            host.pool == wave.to_pool and host.hall == wave.to_hall for host in state.hosts.values()
        )
        for host in free[: max(0, wave.to_count - assigned_count)]:
            if await read_boot_id(self._context, host):
                await self._context.publish(HostAssigned(host.name, wave.to_pool))

    def _iter_wave_hosts(self, state: FleetState, wave: Wave, pool: str) -> Iterator[Host]:
        found = (state.hosts.get(name) for name in wave.waiting)
        return (
            host
            for host in found
            if host is not None and host.pool == pool and host.hall == self._context.hall
        )

    def _list_pools(self, state: FleetState, wave: Wave) -> tuple[str, ...]:
        pools = {
            host.pool
            for name in wave.waiting
            if (host := state.hosts.get(name)) is not None and host.hall == self._context.hall
        }
        return tuple(sorted(pool for pool in pools if self._context.owns_pool(pool)))

    async def _drain_leaving_hosts(self) -> None:
        """Fence hosts that the platform removes, and move their overdue tasks."""
        for host in tuple(self._context.get_state().hosts.values()):
            dispatcher = self._context.get_dispatchers().get(host.pool)
            if host.phase is not HostPhase.LEAVING or host.hall != self._context.hall:
                continue
            if dispatcher is None or host.name not in dispatcher.hosts:
                continue
            if self._fenced.get(host.name) != host.token:
                self._fenced[host.name] = host.token
                await fence(self._context, host)
            self._move_overdue(dispatcher, (host.name,))

    def _start_tasks(self) -> None:
        for host in tuple(self._context.get_state().hosts.values()):
            is_held = host.phase in HELD_PHASES and host.hall == self._context.hall
            task = self._tasks.get(host.name)
            if is_held and self._context.owns_pool(host.pool) and (task is None or task.done()):
                self._tasks[host.name] = asyncio.get_running_loop().create_task(
                    self._maintenance.advance(host.name)
                )

    def _move_overdue(self, dispatcher: Dispatcher, names: tuple[str, ...]) -> None:
        """Move tasks that ran for longer than ``drain_timeout_s`` on hosts that could leave now.

        The time counts from the start of steering, or from the task's start if that is later.
        Tasks on hosts that can't leave yet continue, since they may end before that.
        """
        now_s = asyncio.get_running_loop().time()
        for name in names:
            slots = dispatcher.hosts.get(name)
            if slots is None:
                continue
            steered_since_s = now_s - dispatcher.get_steered_s(name)
            for lease in tuple(slots.leases.values()):
                waited_s = now_s - max(lease.granted_at_s, steered_since_s)
                residual_s = dispatcher.estimate.get_residual_s(now_s - lease.granted_at_s)
                is_overdue = waited_s >= self._settings.drain_timeout_s
                if is_overdue and self._is_worth_move(residual_s):
                    self._move_task(slots, lease)

    def _is_worth_move(self, residual_s: float) -> bool:
        """Tell whether the wait that a move saves outweighs the cost of the move."""
        settings = self._settings
        saved = settings.rollout_weight * residual_s
        return saved >= settings.moves_weight * settings.move_cost_s

    def _move_task(self, slots: HostSlots, lease: SlotLease) -> None:
        """Request the holder of a task to checkpoint it and place it on another host."""
        if not lease.is_preempted:
            slots.mark_preempted(lease.id)
            self._context.measures.record_move()
            self._context.events.record("move", lease.id, slots.host.name)
            self._context.tell_holder(lease.holder_address, Preempt(lease.id))


def _is_budget_met_without(state: FleetState, pool: str, names: tuple[str, ...]) -> bool:
    """Tell whether the pool's budget is met without the named hosts."""
    found = state.pools.get(pool)
    if found is None:
        return True
    return found.budget.is_met_by(
        host for host in state.iter_pool_hosts(pool) if host.name not in names
    )


def _make_host_view(host: Host, dispatcher: Dispatcher | None) -> HostView:
    now_s = asyncio.get_running_loop().time()
    slots = dispatcher.hosts.get(host.name) if dispatcher else None
    if dispatcher is None or slots is None:
        return HostView(host.name, host.rack, host.slots)
    residuals_s = (
        dispatcher.estimate.get_residual_s(now_s - lease.granted_at_s)
        for lease in slots.leases.values()
    )
    return HostView(
        host.name,
        host.rack,
        host.slots,
        tuple(sorted(residuals_s, reverse=True)),
        dispatcher.get_steered_s(host.name),
    )
