"""Days that are drawn from seeds, played in several processes and counted."""

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from bench.parallel import run_in_processes
from bench.result import BenchResult

FIRST_SEED = 1000
DAYS = 400
# Days are played beside whatever else the machine does.
PROCESSES = 4


class Findings(Protocol):
    """What was found on a day."""

    @property
    def is_clean(self) -> bool:
        """Tell whether nothing was found."""


Found = TypeVar("Found", bound=Findings)


def play_drawn(
    name: str,
    find: Callable[[int], Found],
    first_seed: int,
    days: int,
    count: Callable[[Sequence[Found]], dict[str, float]],
) -> BenchResult:
    """Play days from a seed on; print each that is not clean, and count what was found."""
    found = run_in_processes(find, range(first_seed, first_seed + days), PROCESSES)
    unclean = [day for day in found if not day.is_clean]
    for day in unclean:
        print(day)
    totals = {"days": float(days), "days_not_clean": float(len(unclean))}
    return BenchResult(name, totals | count(found), f"seeds from {first_seed}")
