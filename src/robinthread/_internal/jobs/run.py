"""One run of a task on a host."""

import enum
import math

from robinthread._internal.models.task_key import TaskKey


class RunPhase(enum.Enum):
    """State of a run.

    RECORDING: it is not in the store yet, so its start must not be sent.
    SENDING: its start is being sent and may be carried out at any time.
    PRESENT: the host has confirmed it.
    STOPPING: its stop is ordered or about to be.
    OVER: it has ended, or never began and never will.
    """

    RECORDING = "recording"
    SENDING = "sending"
    PRESENT = "present"
    STOPPING = "stopping"
    OVER = "over"


class Run:
    """One run of a task; it takes its resources on the host until its end is known.

    Times are of the event loop's clock, in seconds.  A report requested after
    ``settled_at_s`` is conclusive for the run: if none of the report's lists contains the run,
    it is not present and never will be.  ``sent_at_s`` is when its start was first sent; None
    if the start never reached the host or was sent by an earlier owner, from whom the run then
    ``is_inherited``.  ``placed_at_s`` is when its host was chosen; None if an earlier owner did
    that.  A run that ``is_alone`` was started on a host without other runs, and none
    were added.  A run that ``awaits_end`` was not running at the last report, which left out ends:
    it has probably ended, and its end will be listed.

    ``lease_over_at_s`` is when the longest lease is over that the host's next incarnation may have
    granted the run: it may have carried out a start without a response, or one of an earlier owner.
    ``placed_at_unix_ms``, 0 if unknown, and ``is_regular`` are recorded for the next owner: the run
    was placed on a host without such leases, and was not moved to another incarnation since.
    """

    __slots__ = (
        "awaits_end",
        "checkpoint",
        "host_id",
        "is_alone",
        "is_inherited",
        "is_lasting",
        "is_regular",
        "is_resumed",
        "lease_over_at_s",
        "number",
        "pace_percent",
        "paced_at_s",
        "phase",
        "placed_at_s",
        "placed_at_unix_ms",
        "present_since_s",
        "progress_at_s",
        "progress_percent",
        "recent_load",
        "sent_at_s",
        "settled_at_s",
        "task",
    )

    def __init__(
        self, task: TaskKey, number: int, host_id: str, checkpoint: str, is_lasting: bool = False
    ) -> None:
        self.task = task
        self.number = number
        self.host_id = host_id
        self.is_lasting = is_lasting
        self.phase = RunPhase.RECORDING
        self.checkpoint = checkpoint
        self.is_resumed = bool(checkpoint)
        self.is_inherited = False
        self.is_alone = False
        self.awaits_end = False
        self.progress_percent = 0
        self.progress_at_s = 0.0
        self.recent_load: int | None = None
        self.pace_percent = 100
        self.paced_at_s = 0.0
        self.placed_at_s: float | None = None
        self.placed_at_unix_ms = 0
        self.is_regular = False
        self.sent_at_s: float | None = None
        self.present_since_s: float | None = None
        self.settled_at_s = math.inf
        self.lease_over_at_s = 0.0

    @property
    def key(self) -> tuple[TaskKey, int]:
        """Return the key that identifies the run."""
        return self.task, self.number

    @property
    def is_unsent(self) -> bool:
        """Return whether no start of the run can have reached its host, from any owner."""
        if self.phase is RunPhase.SENDING:
            return self.sent_at_s is None and not self.is_inherited
        return self.phase is RunPhase.RECORDING

    @property
    def awaits_answer(self) -> bool:
        """Return whether this owner placed the run and its host has not answered the start."""
        return self.phase in (RunPhase.RECORDING, RunPhase.SENDING) and not self.is_inherited

    @property
    def begun_by_s(self) -> float:
        """Return when the run had certainly begun if it ever does; infinite if that is open.

        A start without a response may be carried out at any time.  One of an earlier owner was
        sent before this one knew of the run.
        """
        if self.present_since_s is not None:
            return self.present_since_s
        return self.settled_at_s if self.is_inherited else math.inf

    def get_age_s(self, at_s: float) -> float | None:
        """Return for how many seconds at least the run was present; None if it may not be yet."""
        since_s = self.present_since_s
        return None if since_s is None else max(0.0, at_s - since_s)

    def record_progress(self, percent: int, now_s: float) -> None:
        """Record the progress of the run and, if it changed, when that was."""
        if self.present_since_s is None or percent != self.progress_percent:
            self.progress_percent = percent
            self.progress_at_s = now_s
