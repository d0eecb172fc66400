"""The event loop of a process, and the one clock that all of its times are of."""

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

T = TypeVar("T")


@dataclass(frozen=True)
class Clocks:
    """The machine's clocks, in seconds: ``read_steady_s`` stands still while it is suspended."""

    read_steady_s: Callable[[], float] = time.monotonic


class ProcessLoop(asyncio.SelectorEventLoop):
    """An event loop on one of the machine's clocks."""

    def __init__(
        self, clocks: Clocks | None = None, selector: selectors.BaseSelector | None = None
    ) -> None:
        self._read_s = (clocks or Clocks()).read_steady_s
        super().__init__(selector)

    def time(self) -> float:
        """Return the clock's time, in seconds."""
        return self._read_s()


def run_process(main: Coroutine[Any, Any, T]) -> T:
    """Run a process's main coroutine to its end."""
    with asyncio.Runner(loop_factory=ProcessLoop) as runner:
        return runner.run(main)
