"""Measures the lag of the node's event loop."""

import asyncio
from typing import Final

# A loop with more lag delays hosts, which have up to three orders in progress each.
LAG_MAX_S: Final = 0.1
SAMPLE_PERIOD_S: Final = 0.1
# Weight of a new sample: the average covers about the last half second.
SAMPLE_WEIGHT: Final = 0.2


class LoopLag:
    """Measures, as ``lag_s``, the moving average of how late timers of the loop fire."""

    def __init__(self) -> None:
        self.lag_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + SAMPLE_PERIOD_S
            await asyncio.sleep(SAMPLE_PERIOD_S)
            self.lag_s += SAMPLE_WEIGHT * (loop.time() - due_s - self.lag_s)
