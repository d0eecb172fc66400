"""Pauses after rejected starts."""

from typing import Final

# First pause after a rejected start; it doubles with each further one in a row.
REJECTION_PAUSE_MIN_S: Final = 0.3


class RejectionBackoff:
    """Until when a host or a task gets no start, as starts were rejected in a row.

    A rejection during a pause answers a start that was placed before, and counts with the one that
    began the pause.  Times are of the event loop's clock, in seconds.
    """

    def __init__(self, pause_max_s: float) -> None:
        self.paused_until_s = 0.0
        self._pause_max_s = pause_max_s
        self._pause_s = REJECTION_PAUSE_MIN_S

    def record_rejection(self, now_s: float) -> None:
        """Record a rejected start; begin a pause unless one is under way."""
        if now_s >= self.paused_until_s:
            self.paused_until_s = now_s + self._pause_s
            self._pause_s = min(2 * self._pause_s, self._pause_max_s)

    def record_start(self) -> None:
        """Record a confirmed start; the next pause is the shortest again."""
        self._pause_s = REJECTION_PAUSE_MIN_S
