"""Record: a data hall is reachable again."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class HallHealed:
    """A data hall that was cut off and is reachable again."""

    hall: str


def fold(state: FleetState, body: HallHealed, position: Position) -> FoldResult:
    """Mark the hall as no longer cut off; void if it is not cut off."""
    if body.hall not in state.cut_halls:
        return Failure(ResultCode.NOT_FOUND)
    return Success(replace(state, cut_halls=state.cut_halls - {body.hall}))
