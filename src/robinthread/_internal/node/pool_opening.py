"""How far the opening of a pool has come."""

import asyncio
from collections.abc import Awaitable
from typing import Final, TypeVar

PARTS: Final = ("journal", "progress", "inbox", "hosts")

T = TypeVar("T")


class PoolOpening:
    """The parts of an opening, what each took, and which are still missing.

    ``journal`` shuts out older owners, ``progress`` reads what they recorded; ``inbox``
    and ``hosts`` bring this node's copies up to date meanwhile.
    """

    def __init__(self) -> None:
        self._began_at_s = _get_now_s()
        self._last_report_at_s = self._began_at_s
        self._durations_ms: dict[str, float] = {}
        self.opened_at_s: float | None = None

    async def time(self, part: str, work: Awaitable[T]) -> T:
        """Await a part and note how long it took."""
        began_at_s = _get_now_s()
        result = await work
        self._durations_ms[part] = round((_get_now_s() - began_at_s) * 1000, 1)
        return result

    @property
    def missing(self) -> tuple[str, ...]:
        """Return the parts that are not done."""
        return tuple(part for part in PARTS if part not in self._durations_ms)

    def end(self) -> None:
        """Note that the pool is open."""
        self.opened_at_s = _get_now_s()

    def make_end_fields(self) -> dict[str, float]:
        """Return what opening took and for how long the pool is open, as fields of a line."""
        if self.opened_at_s is None:
            return {}
        return {
            "opened_in_s": round(self.opened_at_s - self._began_at_s, 3),
            "open_for_s": round(_get_now_s() - self.opened_at_s, 1),
        }

    def make_timing_fields(self) -> dict[str, float]:
        """Return what the whole and each part that is done took, as fields of a line."""
        parts = {
            f"{part}_ms": self._durations_ms[part] for part in PARTS if part in self._durations_ms
        }
        until_s = _get_now_s() if self.opened_at_s is None else self.opened_at_s
        return {"took_ms": round((until_s - self._began_at_s) * 1000, 1)} | parts

    def is_report_due(self, period_s: float) -> bool:
        """Tell whether so long has passed since the beginning, or since this was last so."""
        is_due = _get_now_s() - self._last_report_at_s >= period_s
        if is_due:
            self._last_report_at_s = _get_now_s()
        return is_due


def _get_now_s() -> float:
    return asyncio.get_running_loop().time()
