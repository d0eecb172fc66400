"""Workspace limits under random troubles on the simulated platform, over many seeds."""

import statistics
from collections.abc import Sequence

from tests.lib.drawn_limits import LimitFindings, find_on_limit_day, find_with_fixed_split

from bench.drawn import DAYS, FIRST_SEED, play_drawn
from bench.result import BenchResult


def run_drawn_limits(first_seed: int = FIRST_SEED, days: int = DAYS) -> BenchResult:
    """Simulate days from ``first_seed`` on; print each that is not clean and count its findings."""
    return play_drawn("drawn_limits", find_on_limit_day, first_seed, days, _count)


def run_drawn_fixed_limits(first_seed: int = FIRST_SEED, days: int = DAYS) -> BenchResult:
    """Simulate the same days with each limit split evenly and permanently over the pools."""
    return play_drawn("drawn_fixed_limits", find_with_fixed_split, first_seed, days, _count)


def _count(found: Sequence[LimitFindings]) -> dict[str, float]:
    waits_s = sorted(day.longest_wait_s for day in found)
    return {
        "breaks": sum(len(day.breaks) for day in found),
        "starved": sum(len(day.starved) for day in found),
        "undone": sum(len(day.undone) for day in found),
        "longest_wait_median_s": waits_s[len(waits_s) // 2],
        "longest_wait_s": waits_s[-1],
        "done_mean_s": statistics.fmean(day.done_s for day in found),
    }
