"""Queue of waiting slot requests by urgency and team, and the slots that teams hold."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.urgency import Urgency
from robinthread._internal.peers.messages import SlotReply, SlotRequest

UNLIMITED_SLOTS: Final = 1_000_000


@dataclass(frozen=True)
class WaitingRequest:
    """A waiting slot request and its sender; ``arrived_at_s`` is event-loop time in seconds."""

    request: SlotRequest
    sender_name: str
    sender_address: str
    frame_id: int
    arrived_at_s: float
    future: asyncio.Future[SlotReply]


class WaitingQueue:
    """Slot requests in order of urgency class.

    Within a class, the team that uses the smallest share of its quota goes first.
    """

    def __init__(self) -> None:
        self._classes: dict[int, dict[str, deque[WaitingRequest]]] = {
            urgency.value: {} for urgency in Urgency
        }
        self._counts = dict.fromkeys(self._classes, 0)

    def __len__(self) -> int:
        return sum(self._counts.values())

    def count_ahead(self, urgency: int) -> int:
        """Return the number of waiting requests of this class or a more urgent one."""
        return sum(count for level, count in self._counts.items() if level <= urgency)

    def count_class(self, urgency: int) -> int:
        """Return the number of waiting requests of this class."""
        return self._counts[urgency]

    def put(self, waiting: WaitingRequest) -> None:
        """Append a request to the queue of its class and team."""
        teams = self._classes[waiting.request.urgency]
        teams.setdefault(waiting.request.team, deque()).append(waiting)
        self._counts[waiting.request.urgency] += 1

    def iter_heads(self, get_share: Callable[[str], float]) -> Iterator[WaitingRequest]:
        """Iterate over each team's first request, by class, then by the team's share in use."""
        for teams in self._classes.values():
            order = sorted(teams, key=lambda team: (get_share(team), teams[team][0].arrived_at_s))
            yield from [teams[team][0] for team in order]

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request; does nothing if it is no longer queued."""
        teams = self._classes[waiting.request.urgency]
        requests = teams.get(waiting.request.team)
        if requests is None or waiting not in requests:
            return
        requests.remove(waiting)
        self._counts[waiting.request.urgency] -= 1
        if not requests:
            del teams[waiting.request.team]

    def iter_all(self) -> Iterator[WaitingRequest]:
        """Iterate over all waiting requests."""
        return (
            waiting
            for teams in tuple(self._classes.values())
            for requests in tuple(teams.values())
            for waiting in tuple(requests)
        )


class TeamSlots:
    """Count the slots that each team holds in one pool and data hall."""

    def __init__(self, get_state: Callable[[], FleetState]) -> None:
        self._get_state = get_state
        self._in_use: Counter[str] = Counter()

    def add_slot(self, team: str) -> None:
        """Count a slot that was leased to a team as in use."""
        self._in_use[team] += 1

    def remove_slot(self, team: str) -> None:
        """Count a slot of a team as free again."""
        self._in_use[team] -= 1

    def get_share(self, team: str) -> float:
        """Return the fraction of its quota that a team has in use."""
        return self._in_use[team] / self._get_quota(team)

    def is_over_quota(self, team: str) -> bool:
        """Return whether a team has used up its quota and gets no further slot."""
        return self._in_use[team] >= self._get_quota(team)

    def _get_quota(self, team: str) -> int:
        quota = self._get_state().quotas.get(team)
        return max(1, quota.max_slots) if quota else UNLIMITED_SLOTS
