"""The steps that have tasks waiting for a host."""

from collections import Counter
from dataclasses import dataclass

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.models.job_spec import StepSpec


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step of an occurrence of a job, and how many of its tasks wait for a host.

    ``copy_count`` of them have a run already and wait for a host for a second one.
    """

    job: Job
    occurrence: int
    number: int
    task_count: int
    copy_count: int

    @property
    def spec(self) -> StepSpec:
        """Return the specification of the step."""
        return self.job.spec.steps[self.number]


def list_waiting_steps(pool: PoolJobs) -> list[WaitingStep]:
    """Group the waiting tasks by step; the tasks of a step are alike."""
    keys = [(key.job_id, key.occurrence, key.step) for key in pool.waiting]
    copies = Counter(
        (key.job_id, key.occurrence, key.step) for key, task in pool.waiting.items() if task.runs
    )
    return [
        WaitingStep(pool.jobs[step_key[0]], step_key[1], step_key[2], count, copies[step_key])
        for step_key, count in Counter(keys).items()
    ]
