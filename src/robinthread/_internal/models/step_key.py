"""Key of a step."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StepKey:
    """A step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
