"""Record: a host is no longer in the platform's host list."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult, mark_done_in_wave, revoke_permits
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class HostGone:
    """A host that the platform has removed."""

    host: str


def fold(state: FleetState, body: HostGone, position: Position) -> FoldResult:
    """Remove the host and mark it as done in its wave.

    The pool's budget is not checked, because the host is removed already.
    """
    host = state.hosts.get(body.host)
    if host is None:
        return Failure(ResultCode.NOT_FOUND)
    remaining = {name: other for name, other in state.hosts.items() if name != body.host}
    state = replace(state, hosts=remaining)
    for wave in tuple(state.waves.values()):
        if wave.is_unfinished and body.host in wave.hosts:
            state = mark_done_in_wave(state, wave.name, body.host, position.offset)
    return Success(revoke_permits(state, host.pool, position.offset))
