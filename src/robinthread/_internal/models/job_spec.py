"""A job as its caller handed it in.

These types are kept in the platform's store as they are, in array form: new
fields go to the end and carry a default.
"""

import msgspec

from robinthread._internal.models.resources import Resources


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
    away_max: int = 0
    has_away_limit: bool = False

    @property
    def room(self) -> Resources:
        """Return what one task takes of a host's room."""
        cpu = 0 if self.fills_leftover else self.cpu_millicores
        return Resources(cpu, self.memory_mb, self.gpu_count)


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job; ``pool`` is where its queue led when it was accepted.

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

    @property
    def is_timed(self) -> bool:
        """Tell whether the job runs at set times."""
        return self.occurrence_count > 0

    @property
    def is_lasting(self) -> bool:
        """Tell whether any task of the job runs until the job is cancelled."""
        return any(step.is_lasting for step in self.steps)
