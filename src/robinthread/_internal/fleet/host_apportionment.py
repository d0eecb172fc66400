"""Sharing machines out among pools that want more than there are."""

import math
from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from robinthread._internal.fleet.sizing import HostTiers, PoolSize

# A pool gives machines up where it has so much more than its share.  Shares follow arrivals,
# which vary by chance by some tenth from one second to the next, and a machine that moves
# serves nobody for 1.5 s.
SLACK_SHARE: Final = 0.1


def apportion_hosts(
    sizes: Mapping[str, PoolSize], needs: Mapping[str, HostTiers], host_count: int
) -> dict[str, PoolSize]:
    """Return the pools' sizes, each no larger than its share where hosts are short.

    The load that this answers: queues whose demand comes in turns, each of which asks for more
    hosts than there are.  Without shares the pool whose turn is over keeps its hosts for a
    backlog that is late already, and the next one waits for its first machines for 4 to 8 s.

    What lasts comes first, then what jobs that can be on time need, then what late ones need;
    hosts that do not suffice for a rank are divided in proportion to what the pools need there.
    """
    if sum(size.keep_count for size in sizes.values()) <= host_count:
        return dict(sizes)
    shares = dict.fromkeys(sizes, 0)
    ranks = (
        {pool: need.least_count for pool, need in needs.items()},
        {pool: need.urgent_count for pool, need in needs.items()},
        {pool: need.wanted_count for pool, need in needs.items()},
    )
    left = host_count
    for wanted in ranks:
        more = {pool: max(0, count - shares[pool]) for pool, count in wanted.items()}
        given = _divide(more, left)
        shares = {pool: shares[pool] + given[pool] for pool in shares}
        left -= sum(given.values())
    return {
        pool: _limit(size, shares[pool], needs[pool].least_count) for pool, size in sizes.items()
    }


def _divide(wanted: Mapping[str, int], count: int) -> dict[str, int]:
    """Divide hosts in proportion to what is wanted, whole ones by the largest remainder."""
    total = sum(wanted.values())
    if total <= count:
        return dict(wanted)
    exact = {pool: count * want / total for pool, want in wanted.items()}
    given = {pool: math.floor(part) for pool, part in exact.items()}
    by_remainder = sorted(wanted, key=lambda pool: (given[pool] - exact[pool], pool))
    for pool in by_remainder[: count - sum(given.values())]:
        given[pool] += 1
    return given


def _limit(size: PoolSize, share: int, least_count: int) -> PoolSize:
    kept = max(least_count, share + math.ceil(SLACK_SHARE * share))
    return replace(
        size, fetch_count=min(size.fetch_count, share), keep_count=min(size.keep_count, kept)
    )
