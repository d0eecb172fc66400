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
    sizes: Mapping[str, PoolSize], tiers: Mapping[str, HostTiers], host_count: int
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
    tier_counts = (
        {pool: tier.minimum_count for pool, tier in tiers.items()},
        {pool: tier.urgent_count for pool, tier in tiers.items()},
        {pool: tier.wanted_count for pool, tier in tiers.items()},
    )
    left = host_count
    for wanted in tier_counts:
        more = {pool: max(0, count - shares[pool]) for pool, count in wanted.items()}
        allotted = _divide_proportionally(more, left)
        shares = {pool: shares[pool] + allotted[pool] for pool in shares}
        left -= sum(allotted.values())
    return {
        pool: _cap_size(size, shares[pool], tiers[pool].minimum_count)
        for pool, size in sizes.items()
    }


def _divide_proportionally(wanted: Mapping[str, int], count: int) -> dict[str, int]:
    """Divide hosts in proportion to what is wanted, whole ones by the largest remainder."""
    total = sum(wanted.values())
    if total <= count:
        return dict(wanted)
    exact = {pool: count * want / total for pool, want in wanted.items()}
    allotted = {pool: math.floor(part) for pool, part in exact.items()}
    by_remainder = sorted(wanted, key=lambda pool: (allotted[pool] - exact[pool], pool))
    for pool in by_remainder[: count - sum(allotted.values())]:
        allotted[pool] += 1
    return allotted


def _cap_size(size: PoolSize, share: int, minimum_count: int) -> PoolSize:
    keep_max = max(minimum_count, share + math.ceil(SLACK_SHARE * share))
    return replace(
        size, fetch_count=min(size.fetch_count, share), keep_count=min(size.keep_count, keep_max)
    )
