"""Random days on which tasks crash their hosts, counted over many seeds."""

from collections.abc import Sequence

from tests.lib.drawn_crashes import CrashFindings, find_on_crash_day

from bench.drawn import DAYS, FIRST_SEED, play_drawn
from bench.result import BenchResult


def run_drawn_crashes(first_seed: int = FIRST_SEED, days: int = DAYS) -> BenchResult:
    """Simulate days from ``first_seed`` on; print each that is not clean and count its findings."""
    return play_drawn("drawn_crashes", find_on_crash_day, first_seed, days, _count)


def _count(found: Sequence[CrashFindings]) -> dict[str, float]:
    return {
        "started_too_often": sum(len(day.excess) for day in found),
        "given_up_early": sum(len(day.given_up_early) for day in found),
        "given_up_sound": sum(len(day.given_up_sound) for day in found),
        "twice": sum(len(day.breaks) for day in found),
        "jobs_not_ended": sum(len(day.undone) for day in found),
        "hosts_lost": sum(day.hosts_lost for day in found),
        "longest_gap_s": round(max(day.longest_gap_s for day in found), 1),
    }
