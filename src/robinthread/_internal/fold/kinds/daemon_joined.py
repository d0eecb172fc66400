"""Record: a daemon joins the fleet."""

from dataclasses import dataclass, replace

from returns.result import Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.daemon_member import DaemonMember
from robinthread._internal.models.fleet_state import FleetState


@dataclass(frozen=True)
class DaemonJoined:
    """Name, incarnation, data hall and addresses of a daemon that joins."""

    name: str
    incarnation: str
    hall: str
    peer_address: str
    operator_address: str


def fold(state: FleetState, body: DaemonJoined, position: Position) -> FoldResult:
    """Add the daemon, replacing any earlier incarnation with the same name."""
    member = DaemonMember(
        body.name,
        body.incarnation,
        body.hall,
        body.peer_address,
        body.operator_address,
        joined_at=position.offset,
    )
    return Success(
        replace(
            state,
            daemons=state.daemons | {body.name: member},
            hall_epochs=state.hall_epochs | {body.hall: position.offset},
        )
    )
