"""Mean of the times in which something is answered."""

from typing import Final

# Weight of the newest answer.  After ten prompt answers, 6% are left of a slow one.
NEWEST_WEIGHT: Final = 0.25
# Answers say nothing of a host this long after the newest one: a slow host gets few starts, and
# would otherwise count as slow for good.
VALID_S: Final = 10.0
# A host that takes longer answers slowly: most answer within 10 ms, and a host five times slower
# within 50 ms.
SLOW_S: Final = 0.1


class AnswerTimes:
    """Moving mean of recent answer times; times are of the event loop's clock, in seconds."""

    __slots__ = ("_answered_at_s", "_mean_s")

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._answered_at_s: float | None = None

    def record(self, took_s: float, now_s: float) -> None:
        """Record how long one took, be it until its answer or until its timeout."""
        is_known = self._answered_at_s is not None and now_s - self._answered_at_s <= VALID_S
        self._mean_s = (
            self._mean_s + NEWEST_WEIGHT * (took_s - self._mean_s) if is_known else took_s
        )
        self._answered_at_s = now_s

    def get_mean_s(self, now_s: float) -> float:
        """Return the mean; 0 if there was no recent answer."""
        if self._answered_at_s is None or now_s - self._answered_at_s > VALID_S:
            return 0.0
        return self._mean_s

    def is_slow(self, now_s: float) -> bool:
        """Return whether answers are known to be slow."""
        return self.get_mean_s(now_s) > SLOW_S
