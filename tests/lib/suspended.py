"""A machine whose clocks are virtual, and that can be suspended."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from robinthread._internal.utils.event_loop import Clocks, ProcessLoop

T = TypeVar("T")


class Machine:
    """The clocks of a machine; time passes only where its process waits, or it is suspended."""

    def __init__(self) -> None:
        self.awake_s = 0.0
        self.suspended_s = 0.0

    def suspend(self, for_s: float) -> None:
        """Suspend the machine: nothing runs, and its steady clock stands still."""
        self.suspended_s += for_s

    def read_elapsed_s(self) -> float:
        """Return the time since the machine began, suspended or not."""
        return self.awake_s + self.suspended_s

    def get_clocks(self) -> Clocks:
        """Return the clocks for a process."""
        return Clocks(self.read_elapsed_s)


class _WaitlessSelector(selectors.SelectSelector):
    """Has the time of a wait pass at once."""

    def __init__(self, machine: Machine) -> None:
        super().__init__()
        self._machine = machine

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; nothing is but by time."""
        self._machine.awake_s += timeout or 0.0
        return super().select(0)


def run_on(machine: Machine, work: Coroutine[Any, Any, T]) -> T:
    """Run ``work`` in a process on a machine, as nodes are run."""
    loop = ProcessLoop(machine.get_clocks(), _WaitlessSelector(machine))
    try:
        return loop.run_until_complete(work)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()
