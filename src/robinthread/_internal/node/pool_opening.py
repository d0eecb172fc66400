"""Progress of the opening of a pool."""

import asyncio
from collections.abc import Awaitable
from typing import Final, TypeVar

PARTS: Final = ("journal", "progress", "inbox", "hosts")
# The part that reads the operators' records, which only some deployments need.
OPERATORS: Final = "operators"

T = TypeVar("T")


class PoolOpening:
    """Duration of each part of a pool's opening, and the parts that are not done.

    ``journal`` fences earlier owners and ``progress`` reads their records.  Meanwhile ``inbox``
    and ``hosts`` bring this node's copies up to date.  ``more_parts`` are the parts that must be
    done besides ``PARTS``.
    """

    def __init__(self, more_parts: tuple[str, ...] = ()) -> None:
        self._parts = (*PARTS, *more_parts)
        self._began_at_s = _get_now_s()
        self._last_report_at_s = self._began_at_s
        self._durations_ms: dict[str, float] = {}
        self.opened_at_s: float | None = None

    async def time(self, part: str, work: Awaitable[T]) -> T:
        """Await a part, record its duration and return its result."""
        began_at_s = _get_now_s()
        result = await work
        self._durations_ms[part] = round((_get_now_s() - began_at_s) * 1000, 1)
        return result

    @property
    def missing(self) -> tuple[str, ...]:
        """Return the names of the parts that are not done."""
        return tuple(part for part in self._parts if part not in self._durations_ms)

    def end(self) -> None:
        """Record that the pool is open."""
        self.opened_at_s = _get_now_s()

    def make_end_fields(self) -> dict[str, float]:
        """Return log fields: how long the opening took and the pool has been open, in seconds."""
        if self.opened_at_s is None:
            return {}
        return {
            "opened_in_s": round(self.opened_at_s - self._began_at_s, 3),
            "open_for_s": round(_get_now_s() - self.opened_at_s, 1),
        }

    def make_timing_fields(self) -> dict[str, float]:
        """Return log fields: the total duration and that of each finished part, in ms."""
        parts = {
            f"{part}_ms": self._durations_ms[part]
            for part in self._parts
            if part in self._durations_ms
        }
        until_s = _get_now_s() if self.opened_at_s is None else self.opened_at_s
        return {"took_ms": round((until_s - self._began_at_s) * 1000, 1)} | parts

    def is_report_due(self, period_s: float) -> bool:
        """Return whether ``period_s`` has passed since the start or the last report."""
        is_due = _get_now_s() - self._last_report_at_s >= period_s
        if is_due:
            self._last_report_at_s = _get_now_s()
        return is_due


def _get_now_s() -> float:
    return asyncio.get_running_loop().time()
