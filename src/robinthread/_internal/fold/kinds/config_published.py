"""Record: operators publish a configuration."""

from dataclasses import dataclass, replace

from returns.result import Failure, Success

from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.config_entry import ConfigEntry
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.results import ResultCode


@dataclass(frozen=True)
class ConfigPublished:
    """A configuration text and the version that it replaces, 0 for a new name."""

    name: str
    text: str
    based_on_version: int


def fold(state: FleetState, body: ConfigPublished, position: Position) -> FoldResult:
    """Set the text; fail with ``CONFLICT`` if the version that it replaces is not current."""
    current = state.config.get(body.name)
    if (current.version if current else 0) != body.based_on_version:
        return Failure(ResultCode.CONFLICT)
    entry = ConfigEntry(body.name, body.text, version=position.offset)
    return Success(replace(state, config=state.config | {body.name: entry}))
