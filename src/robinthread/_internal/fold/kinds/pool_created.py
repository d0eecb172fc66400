"""Record: a pool is created."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.pool import Pool
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class PoolCreated:
    """A new pool and its budget."""

    name: str
    budget: Budget


def fold(state: FleetState, body: PoolCreated, position: Position) -> FoldResult:
    """Add the pool; void if a pool with its name exists."""
    if body.name in state.pools:
        return Failure(ResultCode.ALREADY_EXISTS)
    pool = Pool(body.name, body.budget, version=position.offset)
    return Success(replace(state, pools=state.pools | {body.name: pool}))
