"""Control calls to workers and their replies."""

import enum
from dataclasses import dataclass


class ControlAction(enum.Enum):
    """Action that a control call requests from a worker."""

    FENCE = "fence"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    REBOOT = "reboot"


@dataclass(frozen=True)
class ControlCall:
    """A control call with its fencing token; ``task_id`` is empty unless it concerns a task."""

    action: ControlAction
    token: int
    task_id: str = ""


@dataclass(frozen=True)
class ControlReply:
    """Whether the worker performed the action, and otherwise the reason."""

    is_done: bool
    reason: str = ""
