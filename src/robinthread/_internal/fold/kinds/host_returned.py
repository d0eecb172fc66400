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
    """A host verified after its reboot, under its token."""

    host: str
    token: int


def fold(state: FleetState, body: HostReturned, at: Position) -> FoldResult:
    """Return the host to service, or to the free hosts, and finish it in its wave."""
    found = get_host_in_phase(state, body.host, body.token, (HostPhase.OUT,))
    if isinstance(found, Failure):
        return found
    host = found.unwrap()
    phase = HostPhase.SERVING if host.pool else HostPhase.FREE
    back = replace(host, phase=phase, wave="", token=at.offset)
    return Success(mark_done_in_wave(put_host(state, back), host.wave, host.name, at.offset))
