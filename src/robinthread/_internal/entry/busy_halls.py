"""Data halls that were just found full."""

import asyncio
from typing import Final

BUSY_MIN_S: Final = 0.02
BUSY_MAX_S: Final = 0.25


class BusyHalls:
    """Remember, for a moment, where a pool had no free slot and how long its queue was."""

    def __init__(self) -> None:
        self._busy_until_s: dict[tuple[str, str], float] = {}
        self._wait_s: dict[tuple[str, str], float] = {}

    def record_full(self, pool: str, hall: str, wait_s: float) -> None:
        """Note that ``hall`` was full and would have made us wait for ``wait_s``."""
        now_s = asyncio.get_running_loop().time()
        key = (pool, hall)
        self._busy_until_s[key] = now_s + min(BUSY_MAX_S, max(BUSY_MIN_S, wait_s))
        self._wait_s[key] = wait_s

    def is_busy(self, pool: str, hall: str) -> bool:
        """Tell whether ``hall`` was full a moment ago."""
        now_s = asyncio.get_running_loop().time()
        return now_s < self._busy_until_s.get((pool, hall), -1e9)

    def get_wait_s(self, pool: str, hall: str) -> float:
        """Return the wait that ``hall`` last told, zero where none is known."""
        return self._wait_s.get((pool, hall), 0.0)
