"""Hybrid logical clock."""

from collections.abc import Callable
from typing import Final

LOGICAL_BITS: Final = 16
MS_PER_S: Final = 1000


class HybridClock:
    """A clock that follows wall time and whose stamps respect causality.

    A stamp is one integer: Unix time in milliseconds, followed by a counter of
    ``LOGICAL_BITS`` bits.  After Kulkarni and others, "Logical Physical Clocks"
    (2014).
    """

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self._wall_clock = wall_clock
        self._last = 0

    def tick(self) -> int:
        """Return a stamp for a local event or a message about to be sent."""
        self._last = max(self._last + 1, self._get_physical())
        return self._last

    def merge(self, stamp: int) -> int:
        """Return a stamp later than ``stamp``, the stamp of a received message."""
        self._last = max(self._last + 1, stamp + 1, self._get_physical())
        return self._last

    def _get_physical(self) -> int:
        return int(self._wall_clock() * MS_PER_S) << LOGICAL_BITS


def get_wall_ms(stamp: int) -> float:
    """Return a stamp as Unix time in milliseconds, with the counter as the fraction."""
    return (stamp >> LOGICAL_BITS) + (stamp & ((1 << LOGICAL_BITS) - 1)) / (1 << LOGICAL_BITS)
