"""The time that a planned stop may take, and what its parts took of it."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from robinthread._internal.telemetry.event_log import EventLog

# Share of the grace time that a stop uses.  The rest is for a signal that is heard late
# and for the end of the interpreter, which takes 0.1 to 0.2 s of a core.
BUDGET_SHARE: Final = 5 / 6


class StopBudget:
    """Runs the parts of a stop; none takes longer than what is left for all.

    ``grace_s`` is the time between the signal and the kill, ``lag_s`` how late the event
    loop may have heard the signal.  ``took_ms`` tells what each part took, ``unfinished_parts``
    which ones did not end in time or failed.
    """

    def __init__(self, grace_s: float, lag_s: float, events: EventLog) -> None:
        self._loop = asyncio.get_running_loop()
        self._events = events
        self.budget_s = max(0.0, grace_s * BUDGET_SHARE - lag_s)
        self._ends_at_s = self._loop.time() + self.budget_s
        self.took_ms: dict[str, float] = {}
        self.unfinished_parts: list[str] = []

    @property
    def left_s(self) -> float:
        """Return the time that is left."""
        return max(0.0, self._ends_at_s - self._loop.time())

    async def run(self, part: str, work: Coroutine[Any, Any, object]) -> bool:
        """Run a part while there is time; return whether it was done.

        A part that goes on in spite of its cancellation is not waited for.
        """
        began_at_s = self._loop.time()
        task = self._loop.create_task(work)
        done, _ = await asyncio.wait({task}, timeout=self.left_s)
        self.took_ms[part] = round((self._loop.time() - began_at_s) * 1000, 1)
        reason = _find_failure(task) if done else "no time is left"
        if not reason:
            return True
        task.cancel()
        self.unfinished_parts.append(part)
        self._events.write("stop_part_undone", part=part, took_ms=self.took_ms[part], reason=reason)
        return False


def _find_failure(task: asyncio.Task[object]) -> str:
    """Return why a task that ended was not done, empty if it was."""
    if task.cancelled():
        return "it was cancelled"
    error = task.exception()
    return "" if error is None else f"{type(error).__name__}: {error}"
