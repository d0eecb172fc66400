"""Tracks start orders that a host may still carry out."""

from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.task_key import TaskKey

# An unanswered start may be carried out up to 12 s later; the rest allows for the network.
UNCONFIRMED_START_MAX_S: Final = 12.5

RunKey = tuple[TaskKey, int]


@dataclass(slots=True)
class _UnansweredStart:
    """Number of unanswered sends of a start, and until when one may be carried out."""

    count: int
    until_s: float


class UnconfirmedStarts:
    """Tracks unanswered starts by the id of the host that they name.

    A host accepts an order by this id alone: one that was meant for an incarnation that has
    ended is carried out by the next.  Times are of the event loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self._starts: dict[str, dict[RunKey, _UnansweredStart]] = {}

    def record_order_sent(self, host_id: str, key: RunKey, now_s: float) -> None:
        """Record that a start is sent."""
        found = self._starts.setdefault(host_id, {}).setdefault(key, _UnansweredStart(0, 0.0))
        found.count += 1
        found.until_s = now_s + UNCONFIRMED_START_MAX_S

    def record_start_settled(self, host_id: str, key: RunKey) -> None:
        """Record that one send of a start was answered or did not reach any host."""
        found = self._starts.get(host_id, {}).get(key)
        if found is None:
            return
        found.count -= 1
        if not found.count:
            self._forget(host_id, key)

    def list_open(self, host_id: str, now_s: float) -> list[RunKey]:
        """Return the runs whose start a host may still carry out; forget expired starts."""
        for key, found in list(self._starts.get(host_id, {}).items()):
            if found.until_s < now_s:
                self._forget(host_id, key)
        return list(self._starts.get(host_id, ()))

    def is_open(self, host_id: str, key: RunKey) -> bool:
        """Return whether a start has an unanswered send that a host may still carry out."""
        return key in self._starts.get(host_id, ())

    def get_last_deadline_s(self, host_id: str) -> float:
        """Return until when a host may carry out unanswered starts; 0 if there are none."""
        starts = self._starts.get(host_id, {}).values()
        return max((found.until_s for found in starts), default=0.0)

    def _forget(self, host_id: str, key: RunKey) -> None:
        del self._starts[host_id][key]
        if not self._starts[host_id]:
            del self._starts[host_id]
