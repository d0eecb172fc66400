"""The event loop of a process, and the one clock that all of its times are of.

What a node may do rests on how long ago something was so: that the store confirmed an owner, that
a lease was granted, that a list was read.  Others count that time also while the node's machine
is suspended, so the loop's clock counts it as well.  A suspension is then like any other time in
which the process did not run: timers that came due meanwhile go off at once.
"""

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

T = TypeVar("T")


def read_elapsed_s() -> float:
    """Return the time since the machine was started, suspended or not.

    Where the system has no such clock, it is that of the time that the machine was awake.
    """
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return time.monotonic()
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True)
class Clocks:
    """The clock of a process, in seconds, which never goes back."""

    read_elapsed_s: Callable[[], float] = read_elapsed_s


class ProcessLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on while its machine is suspended."""

    def __init__(
        self, clocks: Clocks | None = None, selector: selectors.BaseSelector | None = None
    ) -> None:
        self._read_elapsed_s = (clocks or Clocks()).read_elapsed_s
        super().__init__(selector)

    def time(self) -> float:
        """Return the clock's time, in seconds."""
        return self._read_elapsed_s()


def run_process(main: Coroutine[Any, Any, T]) -> T:
    """Run a process's main coroutine to its end."""
    with asyncio.Runner(loop_factory=ProcessLoop) as runner:
        return runner.run(main)
