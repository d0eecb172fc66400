"""Latency histograms that cost next to nothing to keep."""

from bisect import bisect_left
from collections.abc import Mapping
from typing import Final

# Upper bounds: what a call takes that finds no queue, the lag at which pools are passed on,
# the longest time-out of most calls, and what callers bear.  Each costs a line for each set
# of labels, and collectors may keep only a scrape's first 4,000 bytes.
LATENCY_BOUNDS_S: Final = (0.02, 0.1, 0.5, 2.0)

Labels = tuple[str, ...]


class LatencyCounts:
    """How many latencies lie up to each bound and beyond the last, and their sum."""

    __slots__ = ("counts", "sum_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.sum_s = 0.0


class LatencyHistogram:
    """Latencies of one name by the values of its labels.

    A record takes 0.5 us, one of the library's instruments 14 us; a busy owner makes some
    hundred calls a second and more.
    """

    def __init__(self, name: str, *labels: str) -> None:
        self.name = name
        self.labels = labels
        self._by_labels: dict[Labels, LatencyCounts] = {}

    @property
    def by_labels(self) -> Mapping[Labels, LatencyCounts]:
        """Return what was recorded, by the labels' values."""
        return self._by_labels

    def record(self, took_s: float, *values: str) -> None:
        """Record a latency under the values of the labels."""
        entry = self._by_labels.get(values)
        if entry is None:
            entry = self._by_labels[values] = LatencyCounts()
        entry.counts[bisect_left(LATENCY_BOUNDS_S, took_s)] += 1
        entry.sum_s += took_s
