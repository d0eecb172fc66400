"""Event loop on virtual time, which advances only while the process waits."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from robinthread._internal.utils.event_loop import Clocks, ProcessLoop

T = TypeVar("T")


class VirtualClock:
    """A clock that advances only while its process waits."""

    def __init__(self) -> None:
        self.elapsed_s = 0.0

    def read_elapsed_s(self) -> float:
        """Return the virtual time since the creation of the clock, in seconds."""
        return self.elapsed_s


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances the clock by the timeout instead of waiting."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock and return the ready events, without blocking.

        Simulations use no network, so only timers become due.
        """
        self._clock.elapsed_s += timeout or 0.0
        return super().select(0)


def run_on_clock(clock: VirtualClock, main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` on the nodes' event loop with the time of ``clock``; cancel leftover tasks."""
    loop = ProcessLoop(Clocks(clock.read_elapsed_s), _VirtualTimeSelector(clock))
    try:
        return loop.run_until_complete(main)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()
