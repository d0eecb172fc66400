"""Restart of a daemon's background tasks."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging

from robinthread._internal.telemetry.counters import Counters

MakeWork = Callable[[], Coroutine[Any, Any, None]]


async def keep_running(daemon: str, make_work: MakeWork, counters: Counters) -> None:
    """Run the coroutine that ``make_work`` returns, and another one after each failure."""
    work = make_work()
    try:
        return await work
    except Exception as error:
        # Imported only now, because a daemon imports few modules and most tasks never fail.
        from robinthread._internal.utils.error_text import describe_error
        from robinthread._internal.utils.restart_backoff import RestartBackoff

        loop, backoff, failure = asyncio.get_running_loop(), RestartBackoff(), error
    while True:
        pause_s = backoff.record(loop.time())
        counters.add("task_failures")
        logging.warning(
            "daemon %s: %s failed (%d), runs again in %.1f s: %s",
            daemon,
            getattr(work, "__qualname__", ""),
            backoff.count,
            pause_s,
            describe_error(failure),
        )
        await asyncio.sleep(pause_s)
        backoff.restarted_at_s, work = loop.time(), make_work()
        try:
            return await work
        except Exception as error:
            failure = error
