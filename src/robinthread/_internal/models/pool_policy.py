"""Configuration of a pool of hosts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Settings of a pool of hosts.

    ``hosts_check_room`` states whether the pool's hosts reject tasks that do not fit.  The
    hosts of a reserve are off and cost nothing.  A host is slow for ``cold_start_s`` after its
    start, and until then may get ``cold_starts_per_s`` starts a second; 0 sets no limit.
    """

    name: str
    hosts_check_room: bool = True
    is_reserve: bool = False
    connections_max: int = 0
    cold_start_s: float = 0.0
    cold_starts_per_s: float = 0.0
