"""One run of a task on a host."""

import enum

from robinthread._internal.models.task_key import TaskKey


class RunPhase(enum.Enum):
    """How far a run is.

    RECORDING: the store does not know of it yet, so it must not be sent.
    SENDING: the order is under way and may be carried out at any time.
    PRESENT: the host has confirmed it.
    STOPPING: it has been told to stop.
    """

    RECORDING = "recording"
    SENDING = "sending"
    PRESENT = "present"
    STOPPING = "stopping"


class Run:
    """One run of a task; its room on the host is taken until its end is known.

    Times are of the event loop's clock, in seconds.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_at_s",
        "host_id",
        "number",
        "phase",
        "progress_percent",
        "recent_load",
        "stop_sent_at_s",
        "task",
    )

    def __init__(self, task: TaskKey, number: int, host_id: str, checkpoint: str) -> None:
        self.task = task
        self.number = number
        self.host_id = host_id
        self.phase = RunPhase.RECORDING
        self.checkpoint = checkpoint
        self.progress_percent = 0
        self.recent_load: int | None = None
        self.confirmed_at_s = 0.0
        self.stop_sent_at_s = 0.0

    @property
    def key(self) -> tuple[TaskKey, int]:
        """Return what identifies the run."""
        return self.task, self.number
