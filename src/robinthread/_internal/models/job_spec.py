"""Specification of a job as submitted by its caller.

These types are stored in the platform's store as arrays, so new fields are appended at the end
and have a default.
"""

from itertools import chain
from typing import Final

import msgspec

from robinthread._internal.models.job_policy import JobPolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.utils.foreign_input import (
    DURATION_MAX_MS,
    NUMBER_MAX,
    SIZE_MAX,
    TIME_MAX_MS,
)

# Most tasks of one job in a record.  Older versions accepted so many.
TASKS_MAX: Final = 100_000
# Most tasks of a job that is accepted.  A pool of 300 hosts with 16 cores each runs about 5,000
# one-core tasks at a time.  A job of 30,000 tasks takes about 30 MB of its owner's memory, whose
# placement passes visit those that wait: with 100,000 they last so long that other nodes take the
# pool over.
ACCEPTED_TASKS_MAX: Final = 30_000


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job: ``task_count`` identical tasks."""

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

    def may_stop_together(self, count: int) -> bool:
        """Return whether ``count`` tasks of the step may be stopped at the same time."""
        return not self.has_not_running_limit or count <= self.not_running_max

    @property
    def resources(self) -> Resources:
        """Return the resources that one task reserves on a host.

        A task that only fills leftover capacity reserves no processor time.
        """
        cpu = 0 if self.fills_leftover else self.cpu_millicores
        return Resources(cpu, self.memory_mb, self.gpu_count)

    @property
    def charged_resources(self) -> Resources:
        """Return the resources of one task that count towards its workspace's limit."""
        return Resources(self.cpu_millicores, self.memory_mb, self.gpu_count)


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job; ``pool`` is the pool of its queue when the job was accepted.

    ``workspace`` is the workspace whose key the caller used, "" if no key was required.
    ``text`` is passed to each task without being interpreted.  If ``occurrence_count`` is
    positive, the steps run that many times: first at ``first_due_ms`` (Unix time), then every
    ``interval_ms``.
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
    policy: JobPolicy | None = None

    @property
    def is_timed(self) -> bool:
        """Return whether the job runs at scheduled times."""
        return self.occurrence_count > 0

    @property
    def is_lasting(self) -> bool:
        """Return whether any task of the job runs until the job is cancelled."""
        return any(step.is_lasting for step in self.steps)

    @property
    def task_count(self) -> int:
        """Return the number of tasks of one occurrence."""
        return sum(step.task_count for step in self.steps)

    def find_excess(self) -> str:
        """Return why a valid job is too large to be accepted, or "" if it is not."""
        is_too_large = self.task_count > ACCEPTED_TASKS_MAX
        return f"a job has at most {ACCEPTED_TASKS_MAX} tasks" if is_too_large else ""

    def find_fault(self) -> str:
        """Return why the job can't be run by any owner, or "" if the spec is valid."""
        if not self.steps:
            return "a job has a step at least"
        faults = chain(map(_find_step_fault, self.steps), _find_faults(self))
        return next(filter(None, faults), "")


def _find_step_fault(step: StepSpec) -> str:
    if step.task_count < 1:
        return "a step has a task at least"
    sizes = (step.cpu_millicores, step.memory_mb, step.gpu_count, step.estimate_ms)
    bounds = (step.per_host_max, step.not_running_max, step.latency_target_ms)
    if min(*sizes, *bounds) < 0:
        return "a negative size"
    if max(step.estimate_ms, step.latency_target_ms) > DURATION_MAX_MS:
        return f"a time of a step is over {DURATION_MAX_MS} ms"
    return f"a size is over {SIZE_MAX}" if max(*sizes[:3], *bounds[:2]) > SIZE_MAX else ""


def _find_faults(job: JobSpec) -> tuple[str, ...]:
    is_ordered = all(
        0 <= earlier < number
        for number, step in enumerate(job.steps)
        for earlier in step.after_steps
    )
    return (
        "" if is_ordered else "a step comes after earlier ones only",
        "" if job.task_count <= TASKS_MAX else f"a job has at most {TASKS_MAX} tasks",
        "" if min(job.occurrence_count, job.interval_ms) >= 0 else "a negative time",
        "" if _has_bearable_times(job) else "a time of a job is out of range",
    )


def _has_bearable_times(job: JobSpec) -> bool:
    last_due_ms = job.first_due_ms + job.occurrence_count * job.interval_ms
    times_ms = (job.first_due_ms, job.interval_ms, job.accepted_at_ms, last_due_ms)
    is_counted = job.occurrence_count <= SIZE_MAX and abs(job.config_version) <= NUMBER_MAX
    return is_counted and all(abs(time_ms) <= TIME_MAX_MS for time_ms in times_ms)
