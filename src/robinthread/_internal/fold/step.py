"""Functions on the fleet state that several record kinds use."""

from dataclasses import replace

from returns.result import Failure, Result, Success

from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host import Host
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.models.wave import Wave, WaveState
from robinthread._internal.results import ResultCode

FoldResult = Result[FleetState, ResultCode]


def put_host(state: FleetState, host: Host) -> FleetState:
    """Return ``state`` with ``host`` added or replacing the host with the same name."""
    return replace(state, hosts=state.hosts | {host.name: host})


def get_host_in_phase(
    state: FleetState, name: str, token: int, phases: tuple[HostPhase, ...]
) -> Result[Host, ResultCode]:
    """Return the host if ``token`` is its current token and its phase is one of ``phases``."""
    host = state.hosts.get(name)
    if host is None:
        return Failure(ResultCode.NOT_FOUND)
    if token != host.token:
        return Failure(ResultCode.STALE_TOKEN)
    if host.phase not in phases:
        return Failure(ResultCode.WRONG_PHASE)
    return Success(host)


def is_budget_met(state: FleetState, pool: str) -> bool:
    """Return whether the pool's budget is met in ``state``; true for an unknown pool."""
    found = state.pools.get(pool)
    if found is None:
        return True
    return found.budget.is_met_by(host for host in state.hosts.values() if host.pool == pool)


def revoke_permits(state: FleetState, pool: str, offset: int) -> FleetState:
    """Revoke permits of ``pool``, whose hosts then serve again, until its budget is met.

    Called after every record that can break the budget and is not checked against it,
    such as the failure of a host.
    """
    for host in tuple(state.iter_pool_hosts(pool)):
        if is_budget_met(state, pool):
            break
        if host.phase is HostPhase.PERMITTED:
            returned = replace(host, phase=HostPhase.SERVING, wave="", token=offset)
            state = put_host(state, returned)
    return state


def mark_done_in_wave(state: FleetState, wave: str, host: str, offset: int) -> FleetState:
    """Mark ``host`` as done in ``wave`` and end the waves that are now complete."""
    found = state.waves.get(wave)
    if found is None:
        return state
    changed = replace(found, done=found.done | {host})
    state = replace(state, waves=state.waves | {wave: changed})
    return end_finished_waves(state, offset)


def end_finished_waves(state: FleetState, offset: int) -> FleetState:
    """End each unfinished wave whose hosts are all done; a migration also needs its new hosts."""
    ended = {
        name: replace(wave, state=WaveState.DONE, version=offset)
        for name, wave in state.waves.items()
        if wave.is_unfinished and not wave.waiting and has_target_hosts(state, wave)
    }
    return replace(state, waves=state.waves | ended) if ended else state


def has_target_hosts(state: FleetState, wave: Wave) -> bool:
    """Return whether a migration has ``to_count`` hosts in its new hall; true for other waves."""
    if not wave.to_hall:
        return True
    host_count = sum(
        host.pool == wave.to_pool and host.hall == wave.to_hall for host in state.hosts.values()
    )
    return host_count >= wave.to_count
