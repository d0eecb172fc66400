"""Detection of slow appends to the store."""

import asyncio
import math
from collections.abc import Callable
from typing import Final

# An append that takes this long counts as slow.  Usual is 8 to 19 ms, and about 40 ms at worst
# while many callers append to one partition.
SLOW_APPEND_S: Final = 0.1
# Time after which an append under way is reported to ``on_slow``.  It is shorter than
# ``SLOW_APPEND_S`` because each node that is not told in time sends an append of its own.
NOTICE_AFTER_S: Final = 0.06
# How long the store counts as slow after the last slow append.  Callers that were refused retry
# within 1 to 2 s.
SLOW_HOLD_S: Final = 2.0


class AppendLatency:
    """Monitors the latency of appends, or of group joins, that one caller makes in sequence.

    ``on_slow`` is called once an append has taken ``NOTICE_AFTER_S``, while it is under way.
    ``last_fast_start_s`` is when the last one began that took less.
    """

    def __init__(self) -> None:
        self._started_at_s: float | None = None
        self._last_slow_at_s = -math.inf
        self._timer: asyncio.TimerHandle | None = None
        self.on_slow: Callable[[], None] | None = None
        self.last_fast_start_s = -math.inf

    def begin(self) -> None:
        """Record the start of an append."""
        loop = asyncio.get_running_loop()
        self._started_at_s = loop.time()
        self._cancel_timer()
        if self.on_slow is not None:
            self._timer = loop.call_later(NOTICE_AFTER_S, self.on_slow)

    def end(self) -> None:
        """Record the end of the append, whether it succeeded or failed."""
        self._cancel_timer()
        if self._started_at_s is not None:
            duration_s = asyncio.get_running_loop().time() - self._started_at_s
            self.record_duration(duration_s)
            if duration_s < NOTICE_AFTER_S:
                self.last_fast_start_s = self._started_at_s
        self._started_at_s = None

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def record_duration(self, duration_s: float) -> None:
        """Record the duration in seconds of an append, which another node may have made."""
        if duration_s >= SLOW_APPEND_S:
            self.mark_slow()

    def mark_slow(self) -> None:
        """Mark the store as slow because it refused an append."""
        self._last_slow_at_s = asyncio.get_running_loop().time()

    @property
    def is_slow(self) -> bool:
        """Return whether an append is slow now or was within the last ``SLOW_HOLD_S``."""
        now_s = asyncio.get_running_loop().time()
        if self._started_at_s is not None and now_s - self._started_at_s >= SLOW_APPEND_S:
            return True
        return now_s - self._last_slow_at_s < SLOW_HOLD_S
