"""Rate limit of a daemon's appends to the log."""

import asyncio
from collections.abc import Callable
from typing import Final

BURST_S: Final = 0.25


class AppendPacer:
    """A token bucket shared by the partitions that this daemon owns.

    ``get_rate_per_s`` returns the daemon's share of the fleet's appends per second.
    An idle daemon may append at once; a busy one groups the claims that arrive
    while it waits.
    """

    def __init__(self, get_rate_per_s: Callable[[], float]) -> None:
        self._get_rate_per_s = get_rate_per_s
        self._next_at_s = 0.0

    async def wait_turn(self) -> None:
        """Wait until the rate limit allows the next append."""
        now_s = asyncio.get_running_loop().time()
        start_s = max(self._next_at_s, now_s - BURST_S)
        self._next_at_s = start_s + 1 / self._get_rate_per_s()
        if start_s > now_s:
            await asyncio.sleep(start_s - now_s)
