"""The time budget of a planned stop, and the time that its parts took."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from robinthread._internal.telemetry.event_log import EventLog

# Fraction of the grace time that a stop uses.  The rest is for a signal that is handled late and
# for the shutdown of the interpreter, which takes 0.1 to 0.2 s of CPU time.
BUDGET_SHARE: Final = 5 / 6


class StopBudget:
    """Runs the parts of a stop, each within the time that remains for all.

    ``grace_s`` is the time between the signal and the kill, and ``lag_s`` how late the event
    loop may have handled the signal.  ``took_ms`` is, by part, the time that it took;
    ``unfinished_parts`` are those that failed or did not end in time.
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
        """Return the seconds that remain."""
        return max(0.0, self._ends_at_s - self._loop.time())

    async def run(self, part: str, work: Coroutine[Any, Any, object]) -> bool:
        """Run a part within the time that remains; return whether it succeeded.

        A part that continues after its cancellation is not awaited.
        """
        began_at_s = self._loop.time()
        task = self._loop.create_task(work)
        done, _ = await asyncio.wait({task}, timeout=self.left_s)
        self.took_ms[part] = round((self._loop.time() - began_at_s) * 1000, 1)
        reason = _find_failure(task) if done else "not finished within the time budget"
        if not reason:
            return True
        task.cancel()
        self.unfinished_parts.append(part)
        self._events.write("stop_part_undone", part=part, took_ms=self.took_ms[part], reason=reason)
        return False


def _find_failure(task: asyncio.Task[object]) -> str:
    """Return why a finished task did not succeed, "" if it did."""
    if task.cancelled():
        return "cancelled before it finished"
    error = task.exception()
    return "" if error is None else f"{type(error).__name__}: {error}"
