"""Record: a data hall is cut off."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class HallCut:
    """A data hall none of whose daemons can be reached from the author's hall."""

    hall: str


def fold(state: FleetState, body: HallCut, position: Position) -> FoldResult:
    """Mark the hall as cut off: its daemons own no claims until it is reachable again.

    Void if the author's own hall is cut off.  If two halls lose contact and each reports the
    other, the first record in the log therefore counts.
    """
    author = state.daemons.get(position.author)
    if author is None or author.hall in state.cut_halls:
        return Failure(ResultCode.NOT_A_MEMBER)
    if body.hall in state.cut_halls:
        return Failure(ResultCode.ALREADY_EXISTS)
    return Success(replace(state, cut_halls=state.cut_halls | {body.hall}))
