"""What a job host says of the tasks on it."""

import enum
from dataclasses import dataclass

from robinthread._internal.models.task_key import TaskKey


class RunEnd(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang broken"
    GANG_ALONE = "gang alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that is present: its progress, last checkpoint and recent load.

    ``recent_load`` is the tail latency in ms of a task that serves, else the
    thousandths of a core in use.
    """

    task: TaskKey
    run: int
    checkpoint: str
    progress_percent: int
    recent_load: int | None


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that ended; ``number`` rises from 1 within a life of the host."""

    number: int
    task: TaskKey
    run: int
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HostReport:
    """All runs present, and the ends that are not acknowledged yet.

    ``host_started_at_ms`` tells which life of the host says so, where it tells that.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    host_started_at_ms: int | None = None
