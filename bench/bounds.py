"""Bounds on the counts of benches, read from ``bounds.toml``."""

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from bench.result import BenchResult


@dataclass(frozen=True)
class Bound:
    """Minimum and maximum allowed value of a count, and its last accepted value."""

    accepted: float
    least: float | None = None
    greatest: float | None = None

    def allows(self, value: float) -> bool:
        """Return whether ``value`` is within the bound."""
        is_enough = self.least is None or value >= self.least
        return is_enough and (self.greatest is None or value <= self.greatest)


def read_bounds() -> dict[str, dict[str, Bound]]:
    """Return the bounds by name of the bench and name of the count."""
    text = Path(__file__).with_name("bounds.toml").read_text(encoding="utf-8")
    return msgspec.convert(tomllib.loads(text), dict[str, dict[str, Bound]])


def iter_broken(result: BenchResult, bounds: dict[str, Bound]) -> Iterator[str]:
    """Yield the names of counts that are outside their bound or missing."""
    for name, bound in bounds.items():
        value = result.counts.get(name)
        if value is None or not bound.allows(value):
            yield name
