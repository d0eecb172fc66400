"""Rate limits of log lines."""

from collections import Counter
from typing import Final

# Lines per second and burst size of each kind of line.  A busy owner writes about 60 starts and
# as many ends a second; a line takes about 30 us and 250 bytes.
ROUTINE_PER_S: Final = 100.0
ROUTINE_BURST: Final = 200.0
# The same for refusals and failures: several times the rate that the platform's store can handle.
FAILURE_PER_S: Final = 1000.0
FAILURE_BURST: Final = 2000.0
FAILURE_KINDS: Final = frozenset(
    {"request_refused", "request_unknown", "job_failed", "run_failed", "task_failed"}
)


class LineRateLimiter:
    """A token bucket for each kind of line; counts the lines that it suppresses.

    Times are in seconds of any monotonic clock.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, tuple[float, float]] = {}
        self._suppressed: Counter[str] = Counter()

    def admit(self, kind: str, now_s: float) -> bool:
        """Return whether a line of a kind may be written now; otherwise count it as suppressed."""
        is_failure = kind in FAILURE_KINDS
        rate_per_s = FAILURE_PER_S if is_failure else ROUTINE_PER_S
        burst = FAILURE_BURST if is_failure else ROUTINE_BURST
        tokens, updated_at_s = self._buckets.get(kind, (burst, now_s))
        tokens = min(burst, tokens + rate_per_s * (now_s - updated_at_s))
        is_admitted = tokens >= 1
        self._buckets[kind] = (tokens - is_admitted, now_s)
        if not is_admitted:
            self._suppressed[kind] += 1
        return is_admitted

    def take_suppressed(self) -> dict[str, int]:
        """Return the number of suppressed lines of each kind since the last call."""
        suppressed = dict(self._suppressed)
        self._suppressed.clear()
        return suppressed
