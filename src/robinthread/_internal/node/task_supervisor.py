"""Supervision of a node's background tasks."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.cancellation import raise_if_cancelled
from robinthread._internal.utils.error_text import describe_error
from robinthread._internal.utils.restart_backoff import RestartBackoff

# A task keeps failing once it has failed this often without having recovered.  With the pauses
# between them, that takes at least 0.7 s, which is well below the time in which a leaving host
# must get no more work.
FAILURES_MAX: Final = 4

MakeWork = Callable[[], Coroutine[Any, Any, None]]


class TaskSupervisor:
    """Runs the background tasks of the node called ``node``, each under a name of its own.

    A task that raises is told by a ``task_failed`` line and runs again after a pause.  One that
    returns has ended.  The name of each asyncio task is the node's name, a slash and the name of
    the background task.
    """

    def __init__(self, node: str, events: EventLog) -> None:
        self._node = node
        self._events = events
        self._tasks: set[asyncio.Task[None]] = set()
        self._failures: dict[str, RestartBackoff] = {}

    def start(self, name: str, make_work: MakeWork) -> None:
        """Run the coroutine that ``make_work`` returns, and another one after each failure."""
        self._start(name, self._run(name, make_work))

    def start_once(self, name: str, make_work: MakeWork) -> None:
        """Run the coroutine that ``make_work`` returns, which is not repeated after a failure."""
        self._start(name, self._run_once(name, make_work))

    def cancel(self) -> None:
        """Cancel all tasks at once."""
        for task in list(self._tasks):
            task.cancel()

    def find_failing(self) -> str:
        """Return the name of a task that keeps failing, "" if there is none."""
        now_s = asyncio.get_running_loop().time()
        return next(
            (
                name
                for name, failures in self._failures.items()
                if failures.count >= FAILURES_MAX and not failures.has_recovered(now_s)
            ),
            "",
        )

    def _start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work, name=f"{self._node}/{name}")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, name: str, make_work: MakeWork) -> None:
        loop = asyncio.get_running_loop()
        while (error := await _run_to_end(make_work())) is not None:
            failures = self._failures.setdefault(name, RestartBackoff())
            pause_s = failures.record(loop.time())
            self._events.write(
                "task_failed",
                task=name,
                failure_count=failures.count,
                restart_in_s=pause_s,
                **describe_error(error),
            )
            await asyncio.sleep(pause_s)
            failures.restarted_at_s = loop.time()

    async def _run_once(self, name: str, make_work: MakeWork) -> None:
        if (error := await _run_to_end(make_work())) is not None:
            self._events.write("task_failed", task=name, **describe_error(error))


async def _run_to_end(work: Coroutine[Any, Any, None]) -> BaseException | None:
    """Run a coroutine; return the error that ended it, None if it returned."""
    try:
        await work
    except (Exception, asyncio.CancelledError) as error:
        raise_if_cancelled(error)
        return error
    return None
