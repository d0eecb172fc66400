"""Configuration of a pool of hosts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Settings of a pool of hosts.

    ``hosts_check_room`` states whether the pool's hosts reject tasks that do not fit.  The
    hosts of a reserve are off and cost nothing.
    """

    name: str
    hosts_check_room: bool = True
    is_reserve: bool = False
    connections_max: int = 0
