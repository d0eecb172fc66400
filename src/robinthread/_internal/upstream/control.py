"""Control calls to a worker."""

import enum
from dataclasses import dataclass


class ControlAction(enum.Enum):
    """What a control call asks of a worker."""

    FENCE = "fence"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    REBOOT = "reboot"


@dataclass(frozen=True)
class ControlCall:
    """A control call under a fencing token; ``task_id`` where it is about a task."""

    action: ControlAction
    token: int
    task_id: str = ""


@dataclass(frozen=True)
class ControlReply:
    """Whether the worker did as asked, and why not."""

    is_done: bool
    reason: str = ""
