"""A machine of the fleet in the platform's list."""

import enum
from dataclasses import dataclass

from robinthread._internal.models.resources import Resources


class MachineState(enum.Enum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine; ``host_id`` is the id of the host that currently runs on it, "" for none."""

    name: str
    pool: str
    state: MachineState
    hall: str
    rack: str
    kind: str
    capacity: Resources
    host_id: str
