"""Reports of job hosts about their runs of tasks."""

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
    """A run that is in progress on the host.

    ``checkpoint`` is the last one.  ``recent_load`` is the tail latency in ms of a serving
    task, for any other task the processor use in thousandths of a core.
    """

    task: TaskKey
    run: int
    checkpoint: str
    progress_percent: int
    recent_load: int | None


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that ended; ``number`` counts ends from 1 within an incarnation of the host."""

    number: int
    task: TaskKey
    run: int
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HostReport:
    """All runs in progress and the ends that are not acknowledged yet, oldest first.

    ``clock_ms`` is the time on the host's own clock.  ``host_started_at_ms`` identifies the
    host's incarnation; None if the host does not report it.  A report that is not
    ``lists_all_ends`` may leave out ends, which are listed once the ones before are
    acknowledged; a run that is in neither list may have ended then.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    host_started_at_ms: int | None = None
    lists_all_ends: bool = True
