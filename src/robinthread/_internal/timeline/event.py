"""An event on the timeline."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """A change in a process.

    ``stamp`` is a stamp of the hybrid logical clock.  ``next_offset`` is the offset
    of the log record that the process was to apply next.  ``subject`` names a request,
    host, wave, pool or data hall.  ``duration_ms`` is zero for an instant event.
    """

    stamp: int
    next_offset: int
    daemon: str
    hall: str
    kind: str
    subject: str
    detail: str = ""
    duration_ms: float = 0.0
