"""Record: a draining host has finished its work."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import (
    FoldResult,
    get_host_in_phase,
    mark_done_in_wave,
    put_host,
)
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.models.wave import WaveKind


@dataclass(frozen=True)
class HostDrained:
    """The end of a drain, with the drain's fencing token and the boot id before the reboot."""

    host: str
    token: int
    boot_id: str = ""


def fold(state: FleetState, body: HostDrained, position: Position) -> FoldResult:
    """Mark the host as out for its reboot, or free it from its pool if the wave releases it."""
    host_in_phase = get_host_in_phase(state, body.host, body.token, (HostPhase.DRAINING,))
    if isinstance(host_in_phase, Failure):
        return host_in_phase
    host = host_in_phase.unwrap()
    wave = state.waves.get(host.wave)
    if wave is not None and wave.kind is WaveKind.RELEASE:
        free = replace(host, pool="", wave="", phase=HostPhase.FREE, token=position.offset)
        return Success(
            mark_done_in_wave(put_host(state, free), wave.name, host.name, position.offset)
        )
    return Success(
        put_host(
            state, replace(host, phase=HostPhase.OUT, boot_id=body.boot_id, token=position.offset)
        )
    )
