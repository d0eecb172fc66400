"""Random days on which the capacities of hosts change, counted over many seeds."""

from collections.abc import Sequence

from tests.lib.drawn_findings import DrawnFindings
from tests.lib.drawn_rooms import find_on_capacity_day

from bench.drawn import DAYS, FIRST_SEED, play_drawn
from bench.result import BenchResult


def run_drawn_rooms(first_seed: int = FIRST_SEED, days: int = DAYS) -> BenchResult:
    """Simulate days from ``first_seed`` on; print each that is not clean and count its findings."""
    return play_drawn("drawn_rooms", find_on_capacity_day, first_seed, days, _count)


def _count(found: Sequence[DrawnFindings]) -> dict[str, float]:
    return {
        "breaks": sum(len(day.breaks) for day in found),
        "jobs_not_ended": sum(len(day.undone) for day in found),
    }
