"""Record: a host is set aside because its jobs fail."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult, get_host_in_phase, is_budget_met, put_host
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class HostSetAside:
    """A host that its dispatcher sets aside, with its fencing token."""

    host: str
    token: int


def fold(state: FleetState, body: HostSetAside, position: Position) -> FoldResult:
    """Set the host aside; void if its pool's budget would not be met without it."""
    host_in_phase = get_host_in_phase(state, body.host, body.token, (HostPhase.SERVING,))
    if isinstance(host_in_phase, Failure):
        return host_in_phase
    host = host_in_phase.unwrap()
    after = put_host(state, replace(host, phase=HostPhase.SET_ASIDE, token=position.offset))
    if not is_budget_met(after, host.pool):
        return Failure(ResultCode.BUDGET_WOULD_BREAK)
    return Success(after)
