"""Result of a bench."""

from dataclasses import dataclass


@dataclass(frozen=True)
class BenchResult:
    """Deterministic counts of one bench, by name, and a note that is printed with them."""

    name: str
    counts: dict[str, float]
    note: str = ""
