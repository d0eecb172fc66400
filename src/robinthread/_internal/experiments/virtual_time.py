"""Running a process's work on time that passes only where it waits."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from robinthread._internal.utils.event_loop import Clocks, ProcessLoop

T = TypeVar("T")


class VirtualClock:
    """A clock that goes on as its process waits, and only then."""

    def __init__(self) -> None:
        self.elapsed_s = 0.0

    def read_elapsed_s(self) -> float:
        """Return the time since the clock was made."""
        return self.elapsed_s


class _VirtualTimeSelector(selectors.SelectSelector):
    """Has the time of a wait pass at once."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; nothing is but by time."""
        self._clock.elapsed_s += timeout or 0.0
        return super().select(0)


def run_on_clock(clock: VirtualClock, main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` by a clock, on the loop that nodes are run on."""
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
