"""Record: a free host is assigned to a pool."""

from dataclasses import dataclass, replace
from sys import intern

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult, end_finished_waves, put_host
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class HostAssigned:
    """A free host and the pool that it joins."""

    host: str
    pool: str


def fold(state: FleetState, body: HostAssigned, position: Position) -> FoldResult:
    """Assign the host; of concurrent assignments the first in the log takes effect."""
    host = state.hosts.get(body.host)
    if host is None or body.pool not in state.pools:
        return Failure(ResultCode.NOT_FOUND)
    if host.pool:
        return Failure(ResultCode.HOST_IN_OTHER_POOL)
    if host.phase is not HostPhase.FREE:
        return Failure(ResultCode.WRONG_PHASE)
    joined = replace(host, pool=intern(body.pool), phase=HostPhase.SERVING, token=position.offset)
    return Success(end_finished_waves(put_host(state, joined), position.offset))
