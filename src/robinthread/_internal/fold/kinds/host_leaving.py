"""Record: the platform is going to remove a host."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult, put_host, revoke_permits
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class HostLeaving:
    """A host that the platform's list marks as leaving."""

    host: str


def fold(state: FleetState, body: HostLeaving, position: Position) -> FoldResult:
    """Mark the host as leaving, so that it gets no new work.

    The pool's budget is not checked, because the platform has decided already.
    """
    host = state.hosts.get(body.host)
    if host is None:
        return Failure(ResultCode.NOT_FOUND)
    if host.phase is HostPhase.LEAVING:
        return Failure(ResultCode.WRONG_PHASE)
    state = put_host(state, replace(host, phase=HostPhase.LEAVING, token=position.offset))
    return Success(revoke_permits(state, host.pool, position.offset))
