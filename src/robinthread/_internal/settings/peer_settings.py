"""Settings of the communication between daemons."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PeerSettings:
    """Settings of heartbeats and of failure detection.

    A daemon of the same data hall that sends no heartbeat for ``evict_after_s``
    is evicted; a data hall whose daemons all send none for
    ``hall_silent_after_s`` counts as cut off.
    """

    heartbeat_s: float = 1.0
    hall_heartbeat_s: float = 2.0
    silent_after_s: float = 3.0
    evict_after_s: float = 6.0
    hall_silent_after_s: float = 8.0
    ask_timeout_s: float = 2.0
    digest_every_records: int = 256
