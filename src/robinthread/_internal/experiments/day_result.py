"""Result of the simulation of a day."""

from dataclasses import dataclass

from robinthread._internal.experiments.worth import JobOutcome, Worth


@dataclass(frozen=True)
class Sample:
    """Number of running hosts and of unfinished jobs of a pool, ``at_s`` after the day's start."""

    at_s: float
    pool: str
    host_count: int
    job_count: int


@dataclass(frozen=True)
class DayResult:
    """Outcome of a simulated day.

    ``machine_s`` is the time that machines were up in pools, in machine seconds, and
    ``busiest_node`` the highest processor utilization of any node, as a share of its processor.
    ``breaks`` describes each violation of a guarantee.
    """

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
