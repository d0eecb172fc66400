"""Record: a wave is created."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.wave import Wave, WaveKind
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class WaveCreated:
    """A new wave over ``hosts``.

    ``deadline_at_s`` is a Unix time in seconds, 0 for none.  Only a migration sets the fields
    ``to_pool``, ``to_hall`` and ``to_count``; see ``Wave``.
    """

    name: str
    reason: str
    kind: WaveKind
    hosts: tuple[str, ...]
    deadline_at_s: float = 0.0
    to_pool: str = ""
    to_hall: str = ""
    to_count: int = 0


def fold(state: FleetState, body: WaveCreated, position: Position) -> FoldResult:
    """Create the wave; void if another unfinished wave still has to process one of its hosts."""
    if body.name in state.waves:
        return Failure(ResultCode.ALREADY_EXISTS)
    if not body.hosts or any(name not in state.hosts for name in body.hosts):
        return Failure(ResultCode.NOT_FOUND)
    hosts_in_waves = {
        name for wave in state.waves.values() if wave.is_unfinished for name in wave.waiting
    }
    if hosts_in_waves & set(body.hosts):
        return Failure(ResultCode.HOST_IN_OTHER_WAVE)
    wave = Wave(
        body.name,
        body.reason,
        body.kind,
        tuple(dict.fromkeys(body.hosts)),
        deadline_at_s=body.deadline_at_s,
        version=position.offset,
        to_pool=body.to_pool,
        to_hall=body.to_hall,
        to_count=body.to_count,
    )
    return Success(replace(state, waves=state.waves | {body.name: wave}))
