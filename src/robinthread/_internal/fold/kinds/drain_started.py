"""Record: a permitted drain starts."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult, get_host_in_phase, put_host
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase


@dataclass(frozen=True)
class DrainStarted:
    """The start of a drain under its permit's token."""

    host: str
    token: int


def fold(state: FleetState, body: DrainStarted, at: Position) -> FoldResult:
    """Start the drain; void if the permit was taken back."""
    found = get_host_in_phase(state, body.host, body.token, (HostPhase.PERMITTED,))
    if isinstance(found, Failure):
        return found
    started = replace(found.unwrap(), phase=HostPhase.DRAINING, token=at.offset)
    return Success(put_host(state, started))
