"""Soak tests with real processes on loopback, in real time, counted over many seeds."""

from collections.abc import Sequence
from functools import partial

from tests.lib.soak.soak import SoakFindings, find_in_soak

from bench.drawn import FIRST_SEED, play_drawn
from bench.result import BenchResult

DAYS = 50
LENGTH_S = 20.0


def run_soaks(
    first_seed: int = FIRST_SEED, days: int = DAYS, sizes: dict[str, int] | None = None
) -> BenchResult:
    """Run soaks from ``first_seed`` on; ``sizes`` may set ``nodes`` and ``length_s``."""
    return _run("soak", first_seed, days, sizes)


def run_odd_soaks(
    first_seed: int = FIRST_SEED, days: int = DAYS, sizes: dict[str, int] | None = None
) -> BenchResult:
    """Run soaks with odd input, drains in series and demand in turns among their troubles."""
    return _run("odd_soak", first_seed, days, sizes, has_large_jobs=False, is_odd=True)


def run_calm_soaks(
    first_seed: int = FIRST_SEED, days: int = DAYS, sizes: dict[str, int] | None = None
) -> BenchResult:
    """Run soaks with odd input, drains in series and demand in turns, and no other trouble."""
    options = {"has_large_jobs": False, "is_odd": True, "is_calm": True}
    return _run("calm_soak", first_seed, days, sizes, **options)


def _run(
    name: str, first_seed: int, days: int, sizes: dict[str, int] | None, **options: bool
) -> BenchResult:
    given = sizes or {}
    find = partial(
        find_in_soak,
        nodes=given.get("nodes", 0),
        length_s=float(given.get("length_s", LENGTH_S)),
        **options,
    )
    return play_drawn(name, find, first_seed, days, _count)


def _count(found: Sequence[SoakFindings]) -> dict[str, float]:
    return {
        "breaks": sum(len(day.breaks) for day in found),
        "jobs_not_ended": sum(len(day.open_jobs) for day in found),
        "jobs": sum(day.job_count for day in found),
        "runs": sum(day.run_count for day in found),
        "greatest_lag_s": max(day.lag_s for day in found),
    }
