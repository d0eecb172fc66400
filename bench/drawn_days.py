"""Drawn days of troubles on the stand-in, counted over many seeds."""

from tests.lib.drawn_days import DayFindings, find_on_day

from bench.parallel import run_in_processes
from bench.result import BenchResult

FIRST_SEED = 1000
DAYS = 400
# Days are played beside whatever else the machine does.
PROCESSES = 4


def run_drawn_days(first_seed: int = FIRST_SEED, days: int = DAYS) -> BenchResult:
    """Play days from a seed on; print each that is not clean, and count what was found."""
    found = run_in_processes(find_on_day, range(first_seed, first_seed + days), PROCESSES)
    for day in found:
        if not day.is_clean:
            print(day)
    return BenchResult("drawn_days", _count(found), f"seeds from {first_seed}")


def _count(found: list[DayFindings]) -> dict[str, float]:
    return {
        "days": len(found),
        "days_not_clean": sum(not day.is_clean for day in found),
        "lost": sum(len(day.lost) for day in found),
        "twice": sum(len(day.breaks) for day in found),
        "jobs_not_done": sum(len(day.undone) for day in found),
        "not_recovered": sum(bool(day.unserved) for day in found),
        "longest_gap_s": round(max(day.longest_gap_s for day in found), 1),
    }
