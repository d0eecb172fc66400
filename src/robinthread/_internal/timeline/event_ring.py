"""Bounded buffer of a process's latest events."""

from collections import deque
from collections.abc import Callable, Iterable

from robinthread._internal.timeline.event import Event
from robinthread._internal.timeline.hybrid_clock import HybridClock


class EventRing:
    """Ring buffer of the last ``capacity`` events of a process."""

    def __init__(self, daemon: str, hall: str, clock: HybridClock, capacity: int) -> None:
        self.clock = clock
        self.get_next_offset: Callable[[], int] = lambda: 0
        self._daemon = daemon
        self._hall = hall
        self._events: deque[Event] = deque(maxlen=capacity)

    def record(self, kind: str, subject: str, detail: str = "", duration_ms: float = 0.0) -> None:
        """Append an event that ends now, stamped by the hybrid clock."""
        self._events.append(
            Event(
                self.clock.tick(),
                self.get_next_offset(),
                self._daemon,
                self._hall,
                kind,
                subject,
                detail,
                duration_ms,
            )
        )

    def list_events(self, subjects: Iterable[str] = ()) -> tuple[Event, ...]:
        """Return the events that name one of ``subjects``, or all events if it is empty."""
        wanted = tuple(subjects)
        return tuple(
            event
            for event in self._events
            if not wanted or any(name in (event.subject, *event.detail.split()) for name in wanted)
        )
