"""Whether the store takes appends and joins at its usual pace."""

import asyncio
import math
from typing import Final

# The store is slow where an append takes so long; it takes 8 to 19 ms, some 40 ms at worst
# while many append to one partition.
SLOW_APPEND_S: Final = 0.1
# How long it counts as slow afterwards: callers that were turned away come back within 1 to 2 s.
SLOW_HOLD_S: Final = 2.0


class AppendLatency:
    """Watches the appends, or joins, that one caller makes in turn."""

    def __init__(self) -> None:
        self._started_at_s: float | None = None
        self._last_slow_at_s = -math.inf

    def begin(self) -> None:
        """Note that an append begins."""
        self._started_at_s = asyncio.get_running_loop().time()

    def end(self) -> None:
        """Note that the append has ended, however it went."""
        if self._started_at_s is not None:
            self.record_duration(asyncio.get_running_loop().time() - self._started_at_s)
        self._started_at_s = None

    def record_duration(self, duration_s: float) -> None:
        """Note how long an append took that another node made."""
        if duration_s >= SLOW_APPEND_S:
            self.mark_slow()

    def mark_slow(self) -> None:
        """Note that the store turned an append away."""
        self._last_slow_at_s = asyncio.get_running_loop().time()

    @property
    def is_slow(self) -> bool:
        """Tell whether an append takes long now, or has done so of late."""
        now_s = asyncio.get_running_loop().time()
        if self._started_at_s is not None and now_s - self._started_at_s >= SLOW_APPEND_S:
            return True
        return now_s - self._last_slow_at_s < SLOW_HOLD_S
