"""Random days of jobs over the platform's limits, counted over many seeds."""

from collections.abc import Sequence

from tests.lib.drawn_findings import DrawnFindings
from tests.lib.drawn_sizes import find_on_sized_day

from bench.drawn import DAYS, FIRST_SEED, play_drawn
from bench.result import BenchResult


def run_drawn_sizes(first_seed: int = FIRST_SEED, days: int = DAYS) -> BenchResult:
    """Simulate days from ``first_seed`` on; print each that is not clean and count its findings."""
    return play_drawn("drawn_sizes", find_on_sized_day, first_seed, days, _count)


def _count(found: Sequence[DrawnFindings]) -> dict[str, float]:
    return {
        "breaks": sum(len(day.breaks) for day in found),
        "jobs_not_succeeded": sum(len(day.undone) for day in found),
    }
