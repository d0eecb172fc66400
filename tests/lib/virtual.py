"""Runs coroutines in virtual time."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

from robinthread._internal.standins.wave_ledger import WaveBoundError

T = TypeVar("T")

VIRTUAL_LIMIT_S = 100_000


def run_virtual(work: Coroutine[Any, Any, T], is_judged: bool = True) -> T:
    """Run ``work`` on a deterministic event loop whose sleeps take no real time.

    Raises WaveBoundError if a maintenance wave exceeded its bound meanwhile, even if ``work``
    does not check this.  Callers that check it themselves pass ``is_judged=False``.
    """
    loop = looptime.new_event_loop(start=0.0, end=VIRTUAL_LIMIT_S, noop_cycles=0)
    violations: list[WaveBoundError] = []
    loop.set_exception_handler(lambda loop, context: _handle_error(loop, context, violations))
    try:
        result = loop.run_until_complete(work)
    finally:
        _cancel_all(loop)
        loop.close()
    if violations and is_judged:
        raise violations[0]
    return result


def _handle_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any], violations: list[WaveBoundError]
) -> None:
    error = context.get("exception")
    if isinstance(error, WaveBoundError):
        violations.append(error)
    else:
        loop.default_exception_handler(context)


def stall_loop(stall_s: float) -> None:
    """Advance virtual time while no task runs, as code that blocks the event loop does."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, looptime.LoopTimeEventLoop)
    loop.setup_looptime(start=loop.time() + stall_s, end=VIRTUAL_LIMIT_S, noop_cycles=0)


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
