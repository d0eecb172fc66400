"""Events as Chrome trace-event JSON."""

from collections.abc import Sequence
from typing import Any, Final

from robinthread._internal.timeline.event import Event
from robinthread._internal.timeline.hybrid_clock import get_wall_ms

MICROSECONDS_PER_MS: Final = 1000


def make_chrome_trace(events: Sequence[Event]) -> dict[str, Any]:
    """Return the trace, with a process for each data hall and a thread for each daemon.

    The trace is a JSON object of the Trace Event Format with complete ("X") and
    instant ("i") events and times in microseconds.
    """
    halls = {hall: index for index, hall in enumerate(sorted({e.hall for e in events}), 1)}
    daemons = {name: index for index, name in enumerate(sorted({e.daemon for e in events}), 1)}
    names = [
        {"ph": "M", "name": "process_name", "pid": pid, "args": {"name": hall}}
        for hall, pid in halls.items()
    ]
    threads = [
        {
            "ph": "M",
            "name": "thread_name",
            "pid": halls[hall],
            "tid": daemons[name],
            "args": {"name": name},
        }
        for name, hall in sorted({(e.daemon, e.hall) for e in events})
    ]
    return {
        "traceEvents": [
            *names,
            *threads,
            *(_make_entry(event, halls[event.hall], daemons[event.daemon]) for event in events),
        ]
    }


def _make_entry(event: Event, pid: int, tid: int) -> dict[str, Any]:
    end_us = get_wall_ms(event.stamp) * MICROSECONDS_PER_MS
    entry: dict[str, Any] = {
        "name": f"{event.kind} {event.subject}",
        "pid": pid,
        "tid": tid,
        "args": {"detail": event.detail, "offset": event.next_offset, "stamp": event.stamp},
    }
    if event.duration_ms:
        duration_us = event.duration_ms * MICROSECONDS_PER_MS
        return {**entry, "ph": "X", "ts": end_us - duration_us, "dur": duration_us}
    return {**entry, "ph": "i", "s": "t", "ts": end_us}
