"""What an experiment keeps of a day."""

from dataclasses import dataclass

from robinthread._internal.experiments.worth import JobOutcome, Worth


@dataclass(frozen=True)
class Sample:
    """How a pool stood at a moment: its hosts, and its jobs that had not ended."""

    at_s: float
    pool: str
    host_count: int
    job_count: int


@dataclass(frozen=True)
class DayResult:
    """What became of a day; ``busiest_node`` is the greatest share of a node's processor."""

    seed: int
    worth: Worth
    job_count: int
    served_count: int
    machine_s: float
    move_count: int
    busiest_node: float
    breaks: tuple[str, ...]
    jobs: tuple[JobOutcome, ...]
    samples: tuple[Sample, ...]
