"""A task of a job."""

import math
from dataclasses import replace
from typing import Final

from robinthread._internal.jobs.crashes import Crash
from robinthread._internal.jobs.rejection_backoff import RejectionBackoff
from robinthread._internal.jobs.run import Run
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.task_key import TaskKey

# Limit of the doubling pause of a task whose starts are rejected.
REJECTION_PAUSE_MAX_S: Final = 2.0


class Task:
    """A task: whether it is done, how often it failed, and its current runs.

    There is at most one run, except where the step allows copies.  Run numbers increase from 1
    across all owners of the pool.  The failures of a gang, with ``last_failed_run``, are counted
    on its first member.  ``took_s`` is the run time of the completed run if this owner saw it
    begin, else None.  ``ran_until_s`` is when a lasting task was last reported to run, in seconds
    of the event loop's clock: infinite if it never ran, and minus infinite if an earlier owner
    started it.  ``crashes`` are the host crashes that the task may have caused; those of a gang
    are held by its first member.  ``checkpoint_percent`` is the progress at the last checkpoint,
    0 if this owner does not know it.  ``rejections`` are those of its starts since the last
    confirmed one, None if there are none; those of a gang are held by its first member.
    """

    __slots__ = (
        "checkpoint",
        "checkpoint_percent",
        "crashes",
        "failed_host_ids",
        "failure_count",
        "is_done",
        "key",
        "last_failed_run",
        "last_run",
        "ran_until_s",
        "rejections",
        "resources",
        "runs",
        "step",
        "took_s",
    )

    def __init__(self, key: TaskKey, step: StepSpec) -> None:
        self.key = key
        self.step = step
        self.resources = step.resources
        self.is_done = False
        self.failure_count = 0
        self.last_failed_run = 0
        self.failed_host_ids: set[str] = set()
        self.crashes: tuple[Crash, ...] = ()
        self.last_run = 0
        self.took_s: float | None = None
        self.ran_until_s = math.inf
        self.checkpoint = ""
        self.checkpoint_percent = 0
        self.rejections: RejectionBackoff | None = None
        self.runs: list[Run] = []

    @property
    def crash_task_key(self) -> TaskKey:
        """Return the key of the task that holds its crashes: itself or its gang's first member."""
        return replace(self.key, index=0) if self.step.is_gang else self.key

    def add_run(self, host_id: str, number: int | None = None) -> Run:
        """Add and return the next run, on a host; ``number`` is shared by a gang's members."""
        self.last_run = self.last_run + 1 if number is None else number
        run = Run(self.key, self.last_run, host_id, self.checkpoint, self.step.is_lasting)
        self.runs.append(run)
        return run

    def record_rejection(self, now_s: float) -> None:
        """Record that a host rejected a start; the task gets none for a while."""
        if self.rejections is None:
            self.rejections = RejectionBackoff(REJECTION_PAUSE_MAX_S)
        self.rejections.record_rejection(now_s)

    def is_paused(self, now_s: float) -> bool:
        """Return whether the task gets no start because the last ones were rejected."""
        return self.rejections is not None and now_s < self.rejections.paused_until_s

    def record_last_run_time(self, run: Run, last_report_at_s: float) -> None:
        """Record until when a lasting task ran, by the last report of its host.

        A run that no host confirmed may never have been present, so it does not move the time
        forward.
        """
        if run.present_since_s is None:
            last_report_at_s = min(last_report_at_s, self.ran_until_s)
        self.ran_until_s = last_report_at_s
