"""A job as its caller handed it in.

These types are kept in the platform's store as they are, in array form: new
fields go to the end and carry a default.
"""

from itertools import chain
from typing import Final

import msgspec

from robinthread._internal.models.resources import Resources

# Tasks of one job at most.  A pool of 300 hosts with 16 cores each runs some 5,000 of one core
# at a time; a job of 100,000 takes its owner some 100 MB.
TASKS_MAX: Final = 100_000


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job: ``task_count`` tasks that are alike."""

    task_count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0
    estimate_ms: int = 0
    after_steps: tuple[int, ...] = ()
    keeps_checkpoints: bool = False
    is_gang: bool = False
    wants_one_rack: bool = False
    required_label: str = ""
    near_rack: str = ""
    per_host_max: int = 0
    allows_copies: bool = False
    is_lasting: bool = False
    image: str = ""
    latency_target_ms: int = 0
    fills_leftover: bool = False
    not_running_max: int = 0
    has_not_running_limit: bool = False

    @property
    def resources(self) -> Resources:
        """Return what one task takes of a host's room."""
        cpu = 0 if self.fills_leftover else self.cpu_millicores
        return Resources(cpu, self.memory_mb, self.gpu_count)

    @property
    def charged_resources(self) -> Resources:
        """Return what one task takes of its workspace's limit."""
        return Resources(self.cpu_millicores, self.memory_mb, self.gpu_count)


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job; ``pool`` is where its queue led when it was accepted.

    ``workspace`` is whose key it was handed in with, "" where none was asked for.

    ``text`` is passed to each task unread.  With ``occurrence_count`` over
    zero the steps run that often, the first time at ``first_due_ms`` (Unix
    time), then each ``interval_ms``.
    """

    job_id: str
    queue: str
    pool: str
    text: str
    steps: tuple[StepSpec, ...]
    occurrence_count: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    accepted_at_ms: int = 0
    config_version: int = 0
    workspace: str = ""

    @property
    def is_timed(self) -> bool:
        """Tell whether the job runs at set times."""
        return self.occurrence_count > 0

    @property
    def is_lasting(self) -> bool:
        """Tell whether any task of the job runs until the job is cancelled."""
        return any(step.is_lasting for step in self.steps)

    def find_fault(self) -> str:
        """Return why no owner could work the job off, or ""."""
        if not self.steps:
            return "a job has a step at least"
        return next(filter(None, chain(map(_find_step_fault, self.steps), _find_faults(self))), "")


def _find_step_fault(step: StepSpec) -> str:
    if step.task_count < 1:
        return "a step has a task at least"
    sizes = (step.cpu_millicores, step.memory_mb, step.gpu_count, step.estimate_ms)
    bounds = (step.per_host_max, step.not_running_max, step.latency_target_ms)
    return "a negative size" if min(*sizes, *bounds) < 0 else ""


def _find_faults(job: JobSpec) -> tuple[str, ...]:
    is_ordered = all(
        0 <= earlier < number
        for number, step in enumerate(job.steps)
        for earlier in step.after_steps
    )
    task_count = sum(step.task_count for step in job.steps)
    return (
        "" if is_ordered else "a step comes after earlier ones only",
        "" if task_count <= TASKS_MAX else f"a job has at most {TASKS_MAX} tasks",
        "" if min(job.occurrence_count, job.interval_ms) >= 0 else "a negative time",
    )
