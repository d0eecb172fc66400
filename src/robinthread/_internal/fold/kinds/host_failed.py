"""Record: a host fails."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult, get_host_in_phase, put_host, revoke_permits
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase


@dataclass(frozen=True)
class HostFailed:
    """A host that failed, with its fencing token."""

    host: str
    token: int


def fold(state: FleetState, body: HostFailed, position: Position) -> FoldResult:
    """Mark the host as failed and revoke permits until its pool's budget is met."""
    phases = (
        HostPhase.SERVING,
        HostPhase.PERMITTED,
        HostPhase.DRAINING,
        HostPhase.OUT,
        HostPhase.SET_ASIDE,
    )
    host_in_phase = get_host_in_phase(state, body.host, body.token, phases)
    if isinstance(host_in_phase, Failure):
        return host_in_phase
    host = host_in_phase.unwrap()
    state = put_host(state, replace(host, phase=HostPhase.FAILED, token=position.offset))
    return Success(revoke_permits(state, host.pool, position.offset))
