"""Timeout of a call, estimated from earlier response times."""

from typing import Final

# Weights of a new response time in the mean and in the mean deviation, as is usual for
# retransmission timeouts.
MEAN_WEIGHT: Final = 0.125
DEVIATION_WEIGHT: Final = 0.25
# Number of mean deviations above the mean after which a response counts as lost.
DEVIATION_FACTOR: Final = 4


class CallTimeout:
    """A timeout that adapts to the observed response times.

    It doubles with each lost response, so that it grows beyond the response time of a service
    that has become slow.
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._mean_s = 0.0
        self._mean_deviation_s = 0.0
        self._backoff_factor = 1

    @property
    def seconds(self) -> float:
        """Return the current timeout in seconds."""
        expected_s = self._mean_s + DEVIATION_FACTOR * self._mean_deviation_s
        return min(self._max_s, max(self._min_s, expected_s) * self._backoff_factor)

    def record_response(self, took_s: float) -> None:
        """Record a response time in seconds and reset the back-off."""
        deviation_s = abs(took_s - self._mean_s)
        self._mean_deviation_s += DEVIATION_WEIGHT * (deviation_s - self._mean_deviation_s)
        self._mean_s += MEAN_WEIGHT * (took_s - self._mean_s)
        self._backoff_factor = 1

    def record_loss(self) -> None:
        """Record a lost response: double the timeout, up to its maximum."""
        if self.seconds < self._max_s:
            self._backoff_factor *= 2
