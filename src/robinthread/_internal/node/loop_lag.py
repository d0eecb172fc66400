"""How late a node's event loop runs."""

import asyncio
from typing import Final

# A loop that comes back so late keeps hosts waiting: each has three orders under way.
LAG_MAX_S: Final = 0.1
SAMPLE_PERIOD_S: Final = 0.1
# Weight of a new measurement: about the last half second counts.
SAMPLE_WEIGHT: Final = 0.2


class LoopLag:
    """``lag_s`` is how late the loop has lately come back to what was due."""

    def __init__(self) -> None:
        self.lag_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + SAMPLE_PERIOD_S
            await asyncio.sleep(SAMPLE_PERIOD_S)
            self.lag_s += SAMPLE_WEIGHT * (loop.time() - due_s - self.lag_s)
