"""Maintenance waves under random troubles on the simulated platform, over many seeds."""

from collections.abc import Sequence

from tests.lib.drawn_waves import WaveFindings, find_on_wave_day

from bench.drawn import DAYS, FIRST_SEED, play_drawn
from bench.result import BenchResult


def run_drawn_waves(first_seed: int = FIRST_SEED, days: int = DAYS) -> BenchResult:
    """Simulate days from ``first_seed`` on; print each that is not clean and count its findings."""
    return play_drawn("drawn_waves", find_on_wave_day, first_seed, days, _count)


def _count(found: Sequence[WaveFindings]) -> dict[str, float]:
    return {
        "over_bound": sum(len(day.over_bound) for day in found),
        "shown_done_too_early": sum(len(day.shown_early) for day in found),
        "not_begun": sum(len(day.undone) for day in found),
        "breaks": sum(len(day.breaks) for day in found),
    }
