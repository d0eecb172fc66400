"""The event loop of a process, whose clock gives all of the process's times.

What a node may do depends on the time since an event: since the store confirmed an owner, a lease
was granted or a list was read.  Other nodes count that time even while this node's machine is
suspended, so the loop's clock includes suspended time.  A suspension is then like any other time
in which the process did not run: timers that expired during it fire at once.
"""

import asyncio
import os
import selectors
import sys
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, NoReturn, TypeVar

T = TypeVar("T")


def read_elapsed_s() -> float:
    """Return the seconds since the machine was started, including suspended time.

    On systems without such a clock, return a monotonic time without suspended time.
    """
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return time.monotonic()
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True)
class Clocks:
    """The monotonic clock of a process, in seconds."""

    read_elapsed_s: Callable[[], float] = read_elapsed_s


class ProcessLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances while its machine is suspended."""

    def __init__(
        self, clocks: Clocks | None = None, selector: selectors.BaseSelector | None = None
    ) -> None:
        self._read_elapsed_s = (clocks or Clocks()).read_elapsed_s
        super().__init__(selector)

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return self._read_elapsed_s()


def run_process(main: Coroutine[Any, Any, T]) -> T:
    """Run a process's main coroutine to completion and return its result."""
    with asyncio.Runner(loop_factory=ProcessLoop) as runner:
        return runner.run(main)


def run_server(main: Coroutine[Any, Any, None]) -> NoReturn:
    """Run a server's main coroutine to completion, then end the process with 0.

    The process ends while its event loop still handles signals: closing the loop would restore
    their default action, which ends a process with an error.  Its memory is left to the system:
    the interpreter would visit each object first, which takes time in proportion to the jobs.
    """
    run_process(_run_and_end(main))
    raise AssertionError("the process has not ended")


async def _run_and_end(main: Coroutine[Any, Any, None]) -> NoReturn:
    await main
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
