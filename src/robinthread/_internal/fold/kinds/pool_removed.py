"""Record: a pool is removed."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class PoolRemoved:
    """The removal of a pool, and the version of the pool that it was based on."""

    name: str
    based_on_version: int


def fold(state: FleetState, body: PoolRemoved, position: Position) -> FoldResult:
    """Remove the pool; void while it has hosts."""
    pool = state.pools.get(body.name)
    if pool is None:
        return Failure(ResultCode.NOT_FOUND)
    if pool.version != body.based_on_version:
        return Failure(ResultCode.CONFLICT)
    if any(state.iter_pool_hosts(body.name)):
        return Failure(ResultCode.POOL_IN_USE)
    pools = {name: other for name, other in state.pools.items() if name != body.name}
    return Success(replace(state, pools=pools))
