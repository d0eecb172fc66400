"""Random days with troubles on the simulated platform, counted over many seeds."""

from collections.abc import Sequence
from functools import partial

from tests.lib.drawn_days import DayFindings, find_on_day

from bench.drawn import DAYS, FIRST_SEED, play_drawn
from bench.result import BenchResult


def run_drawn_days(first_seed: int = FIRST_SEED, days: int = DAYS) -> BenchResult:
    """Simulate days from ``first_seed`` on; print each that is not clean and count its findings."""
    return play_drawn("drawn_days", find_on_day, first_seed, days, _count)


def run_odd_days(first_seed: int = FIRST_SEED, days: int = DAYS) -> BenchResult:
    """Simulate days with delays of answers, odd input and drains in series, beside troubles."""
    find = partial(find_on_day, has_delays=True)
    return play_drawn("odd_days", find, first_seed, days, _count)


def _count(found: Sequence[DayFindings]) -> dict[str, float]:
    return {
        "lost": sum(len(day.lost) for day in found),
        "twice": sum(len(day.breaks) for day in found),
        "jobs_not_done": sum(len(day.undone) for day in found),
        "not_recovered": sum(bool(day.unserved) for day in found),
        "longest_gap_s": round(max(day.longest_gap_s for day in found), 1),
    }
