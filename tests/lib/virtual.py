"""Running coroutines on virtual time."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

T = TypeVar("T")

VIRTUAL_LIMIT_S = 100_000


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run ``work`` on a loop whose sleeps take no time; the same on every run."""
    loop = looptime.new_event_loop(start=0.0, end=VIRTUAL_LIMIT_S, noop_cycles=0)
    try:
        return loop.run_until_complete(work)
    finally:
        _cancel_all(loop)
        loop.close()


def stall_loop(stall_s: float) -> None:
    """Let time pass without any task being run, as work does that holds the loop."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, looptime.LoopTimeEventLoop)
    loop.setup_looptime(start=loop.time() + stall_s, end=VIRTUAL_LIMIT_S, noop_cycles=0)


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
