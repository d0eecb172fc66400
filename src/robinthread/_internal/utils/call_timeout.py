"""How long to wait for an answer, learnt from the answers that came."""

from typing import Final

# Weights of a new answer in the mean and in its spread, as usual for retransmission.
MEAN_WEIGHT: Final = 0.125
DEVIATION_WEIGHT: Final = 0.25
# So many spreads beyond the mean an answer is taken as lost.
DEVIATION_FACTOR: Final = 4


class CallTimeout:
    """A timeout that follows the time that answers take.

    It doubles with each answer that does not come, so that a service that has
    become slow is heard again.
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._mean_s = 0.0
        self._mean_deviation_s = 0.0
        self._backoff_factor = 1

    @property
    def seconds(self) -> float:
        """Return how long to wait for an answer now."""
        expected_s = self._mean_s + DEVIATION_FACTOR * self._mean_deviation_s
        return min(self._max_s, max(self._min_s, expected_s) * self._backoff_factor)

    def record_response(self, took_s: float) -> None:
        """Note how long an answer took."""
        deviation_s = abs(took_s - self._mean_s)
        self._mean_deviation_s += DEVIATION_WEIGHT * (deviation_s - self._mean_deviation_s)
        self._mean_s += MEAN_WEIGHT * (took_s - self._mean_s)
        self._backoff_factor = 1

    def record_loss(self) -> None:
        """Note an answer that did not come in time."""
        if self.seconds < self._max_s:
            self._backoff_factor *= 2
