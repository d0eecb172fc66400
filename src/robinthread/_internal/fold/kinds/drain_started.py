"""Record: a permitted drain starts."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult, get_host_in_phase, put_host
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase


@dataclass(frozen=True)
class DrainStarted:
    """The start of a drain, with the fencing token of its permit."""

    host: str
    token: int


def fold(state: FleetState, body: DrainStarted, position: Position) -> FoldResult:
    """Start the drain; void if the permit was revoked."""
    host_in_phase = get_host_in_phase(state, body.host, body.token, (HostPhase.PERMITTED,))
    if isinstance(host_in_phase, Failure):
        return host_in_phase
    started = replace(host_in_phase.unwrap(), phase=HostPhase.DRAINING, token=position.offset)
    return Success(put_host(state, started))
