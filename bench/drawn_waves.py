"""Maintenance waves among drawn troubles on the stand-in, counted over many seeds."""

from tests.lib.drawn_waves import WaveFindings, find_on_wave_day

from bench.parallel import run_in_processes
from bench.result import BenchResult

FIRST_SEED = 1000
DAYS = 400
# Days are played beside whatever else the machine does.
PROCESSES = 4


def run_drawn_waves(first_seed: int = FIRST_SEED, days: int = DAYS) -> BenchResult:
    """Play days from a seed on; print each that is not clean, and count what was found."""
    seeds = range(first_seed, first_seed + days)
    found: list[WaveFindings] = run_in_processes(find_on_wave_day, seeds, PROCESSES)
    for day in found:
        if not day.is_clean:
            print(day)
    return BenchResult("drawn_waves", _count(found), f"seeds from {first_seed}")


def _count(found: list[WaveFindings]) -> dict[str, float]:
    return {
        "days": len(found),
        "days_not_clean": sum(not day.is_clean for day in found),
        "over_bound": sum(len(day.over_bound) for day in found),
        "shown_done_too_early": sum(len(day.shown_early) for day in found),
        "not_begun": sum(len(day.undone) for day in found),
        "breaks": sum(len(day.breaks) for day in found),
    }
