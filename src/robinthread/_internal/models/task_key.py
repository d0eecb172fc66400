"""Key of a task."""

from dataclasses import dataclass

from robinthread._internal.models.step_key import StepKey


@dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """A task: its job, the job's occurrence, the step and its index in the step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> StepKey:
        """Return the key of the task's step."""
        return StepKey(self.job_id, self.occurrence, self.step)

    @property
    def position(self) -> str:
        """Return "occurrence.step.index", the task's position in its job as shown in log lines."""
        return f"{self.occurrence}.{self.step}.{self.index}"
