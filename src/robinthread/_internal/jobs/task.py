"""A task of a job."""

import math
from dataclasses import replace

from robinthread._internal.jobs.crashes import Crash
from robinthread._internal.jobs.run import Run
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.task_key import TaskKey


class Task:
    """A task: whether it is done, how often it failed, and its runs now.

    There is one run at most, except where the step allows copies.  Run numbers
    rise from 1 over all owners of the pool.  ``last_failed_run`` counts for the
    first member of a gang, whose failures are the gang's.  ``took_s`` is how long
    the run took that was done, where this owner saw it begin.  ``ran_until_s`` is when a
    lasting task was last heard to run, in seconds of the event loop's clock: infinite for one
    that never ran, and minus infinite for one that an earlier owner started.  ``crashes`` are
    those of hosts that the task may have been the cause of; those of a gang are its first
    member's.
    """

    __slots__ = (
        "checkpoint",
        "crashes",
        "failed_host_ids",
        "failure_count",
        "is_done",
        "key",
        "last_failed_run",
        "last_run",
        "ran_until_s",
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
        self.runs: list[Run] = []

    @property
    def crash_task_key(self) -> TaskKey:
        """Return whose crashes count for the task: its own, or those of its gang's first."""
        return replace(self.key, index=0) if self.step.is_gang else self.key

    def add_run(self, host_id: str, number: int | None = None) -> Run:
        """Begin the next run of the task on a host; a gang's members share its number."""
        self.last_run = self.last_run + 1 if number is None else number
        run = Run(self.key, self.last_run, host_id, self.checkpoint, self.step.is_lasting)
        self.runs.append(run)
        return run

    def record_last_run_time(self, run: Run, heard_at_s: float) -> None:
        """Note until when a lasting task ran, by the last report of its host.

        A run that no host confirmed may have been there or not: what came before it counts.
        """
        if run.present_since_s is None:
            heard_at_s = min(heard_at_s, self.ran_until_s)
        self.ran_until_s = heard_at_s
