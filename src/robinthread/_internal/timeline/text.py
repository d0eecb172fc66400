"""Formatting of events as lines of text."""

import datetime

from robinthread._internal.timeline.event import Event
from robinthread._internal.timeline.hybrid_clock import MS_PER_S, get_wall_ms


def format_event(event: Event) -> str:
    """Return an event as one line."""
    at = datetime.datetime.fromtimestamp(get_wall_ms(event.stamp) / MS_PER_S, datetime.UTC)
    took = f" {event.duration_ms:.1f} ms" if event.duration_ms else ""
    return (
        f"{at:%H:%M:%S.%f} @{event.next_offset:<6d} {event.daemon:12s} {event.hall:10s} "
        f"{event.kind:18s} {event.subject} {event.detail}{took}".rstrip()
    )
