"""Record: a team's quota is set."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.quota import Quota
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class QuotaSet:
    """A team's quota and the version that it replaces, 0 for a new quota."""

    team: str
    max_slots: int
    based_on_version: int


def fold(state: FleetState, body: QuotaSet, position: Position) -> FoldResult:
    """Set the quota; fail with ``CONFLICT`` if the version that it replaces is not current."""
    current = state.quotas.get(body.team)
    if (current.version if current else 0) != body.based_on_version:
        return Failure(ResultCode.CONFLICT)
    quota = Quota(body.team, body.max_slots, version=position.offset)
    return Success(replace(state, quotas=state.quotas | {body.team: quota}))
