"""Estimates of means over seeds and of differences paired by seed."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import numpy as np
from scipy import stats

CONFIDENCE: Final = 0.95


@dataclass(frozen=True)
class Estimate:
    """A mean and half the width of its confidence interval, which is None for a single value."""

    mean: float
    half_width: float | None

    @property
    def is_significant(self) -> bool:
        """Return whether the confidence interval excludes zero."""
        return self.half_width is not None and abs(self.mean) > self.half_width

    def __str__(self) -> str:
        spread = "" if self.half_width is None else f" ± {self.half_width:.3f}"
        return f"{self.mean:.3f}{spread}"


def estimate_mean(values: Sequence[float]) -> Estimate:
    """Estimate the mean of the values' distribution; the interval uses Student's t.

    There must be at least one value.
    """
    mean = float(np.mean(values))
    if len(values) < 2:
        return Estimate(mean, None)
    quantile = float(stats.t.ppf((1 + CONFIDENCE) / 2, len(values) - 1))
    return Estimate(mean, quantile * float(stats.sem(values)))


def estimate_difference(base: Sequence[float], change: Sequence[float]) -> Estimate:
    """Estimate the mean of ``change`` minus ``base``, paired by position (deployment and seed)."""
    return estimate_mean([after - before for before, after in zip(base, change, strict=True)])
