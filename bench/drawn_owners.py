"""Random days of owners that replace each other over scheduled jobs, counted over many seeds."""

from collections.abc import Sequence

from tests.lib.drawn_findings import DrawnFindings
from tests.lib.drawn_owners import find_in_owners

from bench.drawn import DAYS, FIRST_SEED, play_drawn
from bench.result import BenchResult


def run_drawn_owners(first_seed: int = FIRST_SEED, days: int = DAYS) -> BenchResult:
    """Simulate days from ``first_seed`` on; print each that is not clean and count its findings."""
    return play_drawn("drawn_owners", find_in_owners, first_seed, days, _count)


def _count(found: Sequence[DrawnFindings]) -> dict[str, float]:
    return {"breaks": sum(len(day.breaks) for day in found)}
