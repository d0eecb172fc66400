"""An event in the time line."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """Something that changed in a process.

    ``stamp`` is of the hybrid logical clock, ``next_offset`` the log offset
    that the process had applied.  ``subject`` names a request, host, wave,
    pool or data hall; ``duration_ms`` is zero for an instant.
    """

    stamp: int
    next_offset: int
    daemon: str
    hall: str
    kind: str
    subject: str
    detail: str = ""
    duration_ms: float = 0.0
