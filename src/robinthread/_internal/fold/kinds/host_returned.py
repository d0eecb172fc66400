"""Record: a host is back from its reboot."""

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


@dataclass(frozen=True)
class HostReturned:
    """A host that was verified after its reboot, with its fencing token."""

    host: str
    token: int


def fold(state: FleetState, body: HostReturned, position: Position) -> FoldResult:
    """Return the host to service, or to the free hosts, and mark it as done in its wave."""
    host_in_phase = get_host_in_phase(state, body.host, body.token, (HostPhase.OUT,))
    if isinstance(host_in_phase, Failure):
        return host_in_phase
    host = host_in_phase.unwrap()
    phase = HostPhase.SERVING if host.pool else HostPhase.FREE
    returned = replace(host, phase=phase, wave="", token=position.offset)
    return Success(
        mark_done_in_wave(put_host(state, returned), host.wave, host.name, position.offset)
    )
