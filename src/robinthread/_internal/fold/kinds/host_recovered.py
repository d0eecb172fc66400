"""Record: a host that failed, was set aside or was leaving returns to service."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult, get_host_in_phase, put_host
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase


@dataclass(frozen=True)
class HostRecovered:
    """A host that was verified to work, or is no longer leaving, with its fencing token."""

    host: str
    token: int


def fold(state: FleetState, body: HostRecovered, position: Position) -> FoldResult:
    """Return the host to service; a wave that still lists it can drain it again."""
    host_in_phase = get_host_in_phase(
        state, body.host, body.token, (HostPhase.FAILED, HostPhase.SET_ASIDE, HostPhase.LEAVING)
    )
    if isinstance(host_in_phase, Failure):
        return host_in_phase
    host = host_in_phase.unwrap()
    phase = HostPhase.SERVING if host.pool else HostPhase.FREE
    returned = replace(host, phase=phase, wave="", token=position.offset)
    return Success(put_host(state, returned))
