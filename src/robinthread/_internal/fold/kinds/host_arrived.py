"""Record: a host is new in the platform's host list."""

from dataclasses import dataclass
from sys import intern

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult, put_host
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host import Host
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class HostArrived:
    """A host as described by its entry in the platform's host list."""

    name: str
    hall: str
    rack: str
    address: str
    slots: int
    connections: int
    accelerators: int = 0


def fold(state: FleetState, body: HostArrived, position: Position) -> FoldResult:
    """Add the host without a pool; void if a host with its name exists."""
    if body.name in state.hosts:
        return Failure(ResultCode.ALREADY_EXISTS)
    host = Host(
        body.name,
        intern(body.hall),
        intern(body.rack),
        body.address,
        body.slots,
        body.connections,
        body.accelerators,
        token=position.offset,
    )
    return Success(put_host(state, host))
