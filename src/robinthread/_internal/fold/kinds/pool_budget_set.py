"""Record: a pool's availability budget is changed."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult, revoke_permits
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class PoolBudgetSet:
    """A new budget and the version of the pool that it was based on."""

    name: str
    budget: Budget
    based_on_version: int


def fold(state: FleetState, body: PoolBudgetSet, position: Position) -> FoldResult:
    """Set the budget and revoke permits that it no longer allows."""
    pool = state.pools.get(body.name)
    if pool is None:
        return Failure(ResultCode.NOT_FOUND)
    if pool.version != body.based_on_version:
        return Failure(ResultCode.CONFLICT)
    changed = replace(pool, budget=body.budget, version=position.offset)
    state = replace(state, pools=state.pools | {body.name: changed})
    return Success(revoke_permits(state, body.name, position.offset))
