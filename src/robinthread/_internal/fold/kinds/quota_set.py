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
    """A team's quota, based on a version of it; zero for a new one."""

    team: str
    max_slots: int
    based_on_version: int


def fold(state: FleetState, body: QuotaSet, position: Position) -> FoldResult:
    """Set the quota if it was based on the current version."""
    current = state.quotas.get(body.team)
    if (current.version if current else 0) != body.based_on_version:
        return Failure(ResultCode.CONFLICT)
    quota = Quota(body.team, body.max_slots, version=position.offset)
    return Success(replace(state, quotas=state.quotas | {body.team: quota}))
