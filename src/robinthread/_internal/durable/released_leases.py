"""What the last owner of a pool knew of the leases of the pool's hosts when it stopped."""

import msgspec

from robinthread._internal.utils.foreign_input import Count


class ReleasedLeases(msgspec.Struct, frozen=True, array_like=True):
    """Leases that an owner left when it stopped.

    All leases on the ``regular`` incarnations were granted by their own clocks, as the owner was in
    contact with them.  ``longer_ms`` tells how long those of the runs on other hosts go on at most,
    by host id.  A lease on any other host may last as long as the longest that a host accepts.
    """

    regular: frozenset[str]
    longer_ms: dict[str, Count] = {}
