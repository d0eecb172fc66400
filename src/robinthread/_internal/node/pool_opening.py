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
        self._told_at_s = self._began_at_s
        self._took_ms: dict[str, float] = {}

    async def time(self, part: str, work: Awaitable[T]) -> T:
        """Await a part and note how long it took."""
        began_at_s = _get_now_s()
        result = await work
        self._took_ms[part] = round((_get_now_s() - began_at_s) * 1000, 1)
        return result

    @property
    def missing(self) -> tuple[str, ...]:
        """Return the parts that are not done."""
        return tuple(part for part in PARTS if part not in self._took_ms)

    @property
    def lasts_s(self) -> float:
        """Return for how long the pool has been opening."""
        return _get_now_s() - self._began_at_s

    def list_times(self) -> dict[str, float]:
        """Return what the whole and each part that is done took, as fields of a line."""
        parts = {f"{part}_ms": self._took_ms[part] for part in PARTS if part in self._took_ms}
        return {"took_ms": round(self.lasts_s * 1000, 1)} | parts

    def is_due(self, period_s: float) -> bool:
        """Tell whether so long has passed since the beginning, or since this was last so."""
        is_due = _get_now_s() - self._told_at_s >= period_s
        if is_due:
            self._told_at_s = _get_now_s()
        return is_due


def _get_now_s() -> float:
    return asyncio.get_running_loop().time()
