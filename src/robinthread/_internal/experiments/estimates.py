"""Means over seeds with their confidence, and differences paired by seed."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import numpy as np
from scipy import stats

CONFIDENCE: Final = 0.95


@dataclass(frozen=True)
class Estimate:
    """A mean, and half the width of its interval of confidence; None for a single value."""

    mean: float
    half_width: float | None

    @property
    def is_significant(self) -> bool:
        """Tell whether the interval leaves zero out."""
        return self.half_width is not None and abs(self.mean) > self.half_width

    def __str__(self) -> str:
        spread = "" if self.half_width is None else f" ± {self.half_width:.3f}"
        return f"{self.mean:.3f}{spread}"


def estimate_mean(values: Sequence[float]) -> Estimate:
    """Estimate the mean of what one value at least was drawn from, by Student's distribution."""
    mean = float(np.mean(values))
    if len(values) < 2:
        return Estimate(mean, None)
    quantile = float(stats.t.ppf((1 + CONFIDENCE) / 2, len(values) - 1))
    return Estimate(mean, quantile * float(stats.sem(values)))


def estimate_difference(base: Sequence[float], change: Sequence[float]) -> Estimate:
    """Estimate by how much a change is above the base; values stand in the order of seeds."""
    return estimate_mean([after - before for before, after in zip(base, change, strict=True)])
