"""Record: a host receives a permit to drain."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult, get_host_in_phase, is_budget_met, put_host
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.models.wave import WaveState
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class DrainPermitted:
    """A permit to drain a host in a running wave, with the host's fencing token."""

    host: str
    wave: str
    token: int


def fold(state: FleetState, body: DrainPermitted, position: Position) -> FoldResult:
    """Grant the permit if the pool's budget is still met without the host."""
    host_in_phase = get_host_in_phase(
        state, body.host, body.token, (HostPhase.SERVING, HostPhase.SET_ASIDE, HostPhase.FREE)
    )
    if isinstance(host_in_phase, Failure):
        return host_in_phase
    wave = state.waves.get(body.wave)
    if wave is None or body.host not in wave.waiting:
        return Failure(ResultCode.NOT_FOUND)
    if wave.state is not WaveState.RUNNING:
        return Failure(ResultCode.WAVE_ENDED)
    host = host_in_phase.unwrap()
    permitted = replace(host, phase=HostPhase.PERMITTED, wave=body.wave, token=position.offset)
    after = put_host(state, permitted)
    if not is_budget_met(after, host.pool):
        return Failure(ResultCode.BUDGET_WOULD_BREAK)
    return Success(after)
