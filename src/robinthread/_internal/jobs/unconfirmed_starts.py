"""Starts that may still be on their way to a host."""

from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.task_key import TaskKey

# A start without an answer may be carried out up to 12 s later; the rest is for the way.
UNCONFIRMED_START_MAX_S: Final = 12.5

RunKey = tuple[TaskKey, int]


@dataclass(slots=True)
class _Open:
    """How many sendings of a start have no answer, and until when one may be carried out."""

    count: int
    until_s: float


class UnconfirmedStarts:
    """Starts without an answer, by the id of the host that they name.

    The id is all that a host knows an order by: one that was meant for a life that has ended is
    carried out by the next.  Times are of the event loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self._open: dict[str, dict[RunKey, _Open]] = {}

    def record_order_sent(self, host_id: str, key: RunKey, now_s: float) -> None:
        """Note that a start is sent."""
        found = self._open.setdefault(host_id, {}).setdefault(key, _Open(0, 0.0))
        found.count += 1
        found.until_s = now_s + UNCONFIRMED_START_MAX_S

    def record_start_settled(self, host_id: str, key: RunKey) -> None:
        """Note that a start that was sent has been answered, or has reached nobody."""
        found = self._open.get(host_id, {}).get(key)
        if found is None:
            return
        found.count -= 1
        if not found.count:
            self._forget(host_id, key)

    def list_open(self, host_id: str, now_s: float) -> list[RunKey]:
        """Return the runs whose start a host may still carry out."""
        for key, found in list(self._open.get(host_id, {}).items()):
            if found.until_s < now_s:
                self._forget(host_id, key)
        return list(self._open.get(host_id, ()))

    def is_open(self, host_id: str, key: RunKey) -> bool:
        """Tell whether a start has an unanswered sending that a host may still carry out."""
        return key in self._open.get(host_id, ())

    def get_last_deadline_s(self, host_id: str) -> float:
        """Return until when a host may carry out what was sent; 0 where nothing is open."""
        opened = self._open.get(host_id, {}).values()
        return max((found.until_s for found in opened), default=0.0)

    def _forget(self, host_id: str, key: RunKey) -> None:
        del self._open[host_id][key]
        if not self._open[host_id]:
            del self._open[host_id]
