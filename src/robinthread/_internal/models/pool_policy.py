"""What the configuration says of a pool of hosts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """A pool of hosts.

    ``hosts_check_room`` tells whether its hosts reject what does not fit.
    The hosts of a reserve are off and cost nothing.
    """

    name: str
    hosts_check_room: bool = True
    is_reserve: bool = False
    connections_max: int = 0
