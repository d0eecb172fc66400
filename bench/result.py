"""What a bench counted."""

from dataclasses import dataclass


@dataclass(frozen=True)
class BenchResult:
    """Counts of one bench by name; the same on every run."""

    name: str
    counts: dict[str, float]
    note: str = ""
