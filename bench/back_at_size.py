"""Recovery time of a large platform after a power loss of all nodes."""

import functools
import itertools
import random
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from tests.lib.back_at_size import play_back
from tests.lib.back_figures import BackFigures
from tests.lib.back_site import Size
from tests.lib.back_troubles import KINDS, draw_troubles
from tests.lib.virtual import run_virtual

from bench.parallel import run_in_processes
from bench.result import BenchResult

FIRST_SEED: Final = 1
DAYS: Final = 20
# Limited because the machine runs other work at the same time.
PROCESSES: Final = 2


@dataclass(frozen=True)
class BackDay:
    """Figures of a simulated day, and the names of its troubles."""

    name: str
    found: BackFigures


def run_back_days(
    first_seed: int = FIRST_SEED, days: int = DAYS, sizes: Mapping[str, int] | None = None
) -> BenchResult:
    """Simulate each trouble alone, then days with two random ones; print the figures of each."""
    size = replace(Size(), **(sizes or {}))
    play = functools.partial(_play_day, size)
    cases = [(name, first_seed) for name in sorted(KINDS)]
    cases += [("", seed) for seed in range(first_seed, first_seed + days)]
    played = run_in_processes(play, cases, PROCESSES)
    for day in played:
        _print_day(day)
    return BenchResult("back_days", _count([day.found for day in played]), str(size))


def _play_day(size: Size, case: tuple[str, int]) -> BackDay:
    name, seed = case
    alone = {name: KINDS[name](random.Random(seed))} if name else {}
    troubles = alone or draw_troubles(seed)
    found = run_virtual(play_back(tuple(troubles.values()), size, seed))
    return BackDay(f"{seed} {' + '.join(troubles)}", found)


def _print_day(day: BackDay) -> None:
    found = day.found
    print(
        f"{day.name:44s} accept {found.first_accept_s:5.2f}"
        f"  start {max(found.first_start_s.values()):5.2f}"
        f"  full {found.full_service_s:2.0f}  away {found.lasting_gap_s:5.2f} s"
        f"  in time {found.in_time}, served {found.served} of {found.sent}"
    )
    for seen in itertools.chain(found.lost, found.breaks, found.undone):
        print(f"    {seen}")


def _count(found: list[BackFigures]) -> dict[str, float]:
    return {
        "days": len(found),
        "first_accept_p100_s": round(max(each.first_accept_s for each in found), 2),
        "first_start_p100_s": round(max(max(each.first_start_s.values()) for each in found), 2),
        "full_service_p100_s": max(each.full_service_s for each in found),
        "lasting_gap_p100_s": round(max(each.lasting_gap_s for each in found), 2),
        "in_time_share_least": round(min(each.in_time_share for each in found), 3),
        "days_lost": sum(bool(each.lost) for each in found),
        "days_twice": sum(bool(each.breaks) for each in found),
        "days_undone": sum(bool(each.undone) for each in found),
    }
