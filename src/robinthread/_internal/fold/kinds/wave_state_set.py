"""Record: operators pause, resume or cancel a wave."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.models.wave import WaveState
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class WaveStateSet:
    """A wave's new state and the version of the wave that it was based on."""

    name: str
    state: WaveState
    based_on_version: int


def fold(state: FleetState, body: WaveStateSet, position: Position) -> FoldResult:
    """Change the state; pausing or cancelling revokes permits whose drain has not started."""
    wave = state.waves.get(body.name)
    if wave is None:
        return Failure(ResultCode.NOT_FOUND)
    if wave.version != body.based_on_version:
        return Failure(ResultCode.CONFLICT)
    if not wave.is_unfinished:
        return Failure(ResultCode.WAVE_ENDED)
    changed = replace(wave, state=body.state, version=position.offset)
    state = replace(state, waves=state.waves | {body.name: changed})
    if body.state is not WaveState.RUNNING:
        returned = {
            name: replace(host, phase=HostPhase.SERVING, wave="", token=position.offset)
            for name, host in state.hosts.items()
            if host.wave == body.name and host.phase is HostPhase.PERMITTED
        }
        state = replace(state, hosts=state.hosts | returned)
    return Success(state)
