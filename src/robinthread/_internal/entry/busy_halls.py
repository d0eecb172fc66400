"""Data halls without a free slot in recent slot requests."""

import asyncio
from typing import Final

# Limits of the time for which a data hall counts as busy after a refusal.
BUSY_MIN_S: Final = 0.02
BUSY_MAX_S: Final = 0.25


class BusyHalls:
    """Recent refusals by pool and data hall, with the wait that the dispatcher estimated.

    A hall counts as busy for that wait, limited to ``BUSY_MIN_S`` to ``BUSY_MAX_S``.
    """

    def __init__(self) -> None:
        self._busy_until_s: dict[tuple[str, str], float] = {}
        self._wait_s: dict[tuple[str, str], float] = {}

    def record_full(self, pool: str, hall: str, wait_s: float) -> None:
        """Record that ``hall`` had no free slot and estimated a wait of ``wait_s``."""
        now_s = asyncio.get_running_loop().time()
        key = (pool, hall)
        self._busy_until_s[key] = now_s + min(BUSY_MAX_S, max(BUSY_MIN_S, wait_s))
        self._wait_s[key] = wait_s

    def is_busy(self, pool: str, hall: str) -> bool:
        """Return whether ``hall`` recently had no free slot for ``pool``."""
        now_s = asyncio.get_running_loop().time()
        return now_s < self._busy_until_s.get((pool, hall), -1e9)

    def get_wait_s(self, pool: str, hall: str) -> float:
        """Return the last wait, in seconds, that ``hall`` estimated, or 0 if none is known."""
        return self._wait_s.get((pool, hall), 0.0)
