"""Random days, generated from seeds, simulated in several processes and counted."""

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from bench.parallel import run_in_processes
from bench.result import BenchResult

FIRST_SEED = 1000
DAYS = 400
# Limited because the machine runs other work at the same time.
PROCESSES = 4


class Findings(Protocol):
    """Findings of one simulated day."""

    @property
    def is_clean(self) -> bool:
        """Return whether the day has no findings."""


Found = TypeVar("Found", bound=Findings)


def play_drawn(
    name: str,
    find: Callable[[int], Found],
    first_seed: int,
    days: int,
    count: Callable[[Sequence[Found]], dict[str, float]],
) -> BenchResult:
    """Simulate days from ``first_seed`` on; print each that is not clean and count its findings."""
    found = run_in_processes(find, range(first_seed, first_seed + days), PROCESSES)
    unclean = [day for day in found if not day.is_clean]
    for day in unclean:
        print(day)
    totals = {"days": float(days), "days_not_clean": float(len(unclean))}
    return BenchResult(name, totals | count(found), f"seeds from {first_seed}")
