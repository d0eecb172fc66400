"""Supervision of a node's background tasks."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.error_text import describe_error

MakeWork = Callable[[], Coroutine[Any, Any, None]]


class TaskSupervisor:
    """Runs the background tasks of the node called ``node``, each under a name of its own.

    The name of each asyncio task is the node's name, a slash and the name of the background task.
    """

    def __init__(self, node: str, events: EventLog) -> None:
        self._node = node
        self._events = events
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, make_work: MakeWork) -> None:
        """Run the coroutine that ``make_work`` returns until ``cancel`` is called."""
        task = asyncio.get_running_loop().create_task(
            self._run(name, make_work), name=f"{self._node}/{name}"
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks at once."""
        for task in list(self._tasks):
            task.cancel()

    async def _run(self, name: str, make_work: MakeWork) -> None:
        try:
            await make_work()
        except Exception as error:
            self._events.write("task_failed", task=name, **describe_error(error))
