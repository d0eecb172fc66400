"""Record: a daemon leaves or is evicted."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class DaemonLeft:
    """An incarnation that stopped, or that its peers evicted for missing heartbeats."""

    name: str
    incarnation: str


def fold(state: FleetState, body: DaemonLeft, position: Position) -> FoldResult:
    """Remove the incarnation; void if it is no member or another one has joined since."""
    member = state.daemons.get(body.name)
    if member is None or member.incarnation != body.incarnation:
        return Failure(ResultCode.NOT_A_MEMBER)
    remaining = {name: other for name, other in state.daemons.items() if name != body.name}
    return Success(
        replace(
            state,
            daemons=remaining,
            hall_epochs=state.hall_epochs | {member.hall: position.offset},
        )
    )
