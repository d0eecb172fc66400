"""A machine of the fleet as the platform lists it."""

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
    """A machine, its pool, and the id of the host that it is now ("" for none)."""

    name: str
    pool: str
    state: MachineState
    hall: str
    rack: str
    kind: str
    capacity: Resources
    host_id: str
