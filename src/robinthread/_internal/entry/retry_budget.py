"""Retries as a share of first tries."""

from typing import Final

BURST_MAX: Final = 50.0


class RetryBudget:
    """Allow a retry for each ``1 / share`` first tries, with a small burst.

    A failing fleet so gets at most ``1 + share`` times its load.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = BURST_MAX

    def note_first_try(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(BURST_MAX, self._tokens + self._share)

    def take(self) -> bool:
        """Spend a retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
