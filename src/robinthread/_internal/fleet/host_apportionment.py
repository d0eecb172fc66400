"""Apportioning of hosts among pools that need more than there are."""

import math
from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from robinthread._internal.fleet.sizing import HostTiers, PoolSize

# A pool may keep this fraction more hosts than its share before it releases machines.  Shares
# follow the arrivals of jobs, which vary at random by about a tenth from one second to the next,
# and a machine that moves serves no pool for 1.5 s.
SLACK_SHARE: Final = 0.1


def apportion_hosts(
    sizes: Mapping[str, PoolSize], tiers: Mapping[str, HostTiers], host_count: int
) -> dict[str, PoolSize]:
    """Return the pools' sizes, each limited to a share of ``host_count`` if hosts are short.

    This is for queues whose demand peaks in turns, each of which needs more hosts than there
    are.  Without shares, a pool keeps its hosts after its peak for a backlog that is late
    already, and the next pool waits 4 to 8 s for its first machines.

    Hosts for lasting tasks come first, then those for jobs that can be on time, then those for
    late jobs.  If the hosts do not suffice for a tier, they are divided in proportion to the
    pools' needs in that tier.
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
    """Divide ``count`` hosts in proportion to ``wanted``, by the largest-remainder method."""
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
