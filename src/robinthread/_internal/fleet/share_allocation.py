"""Allocation of workspaces' limits to pools.

A limit applies to the sum over all pools, but the owners of the pools are on different nodes.
Each owner may let a workspace use a share of its limit, and the shares of all pools, or the
usage where it is larger, never add up to more than the limit.  Load moves between pools within a
second, so the shares follow it.  A part of each share is reserved for its pool and never lent to
another one, so that a pool's first jobs start without a request to the steward.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.fleet_config import FleetConfig

# Bisection steps for the common level of shares.  The result is more precise than the fraction of
# any limit that a single task uses.
LEVEL_STEPS: Final = 24


@dataclass(frozen=True, slots=True)
class PoolUsage:
    """A workspace's usage in one pool, as fractions of its limit.

    ``used`` is the usage of its runs, and ``waiting`` that of its waiting tasks if they ran.
    ``held_back`` is that of its most urgent task that waits for a larger share, 0 for none.
    ``bound`` is the largest share that the pool's owner may act on, from its orders so far.
    """

    used: float
    waiting: float
    held_back: float
    bound: float

    @property
    def held(self) -> float:
        """Return the largest fraction of the limit that may be in use in the pool now."""
        return max(self.used, self.bound)


def get_reserved_share(kept_share: float, config: FleetConfig) -> float:
    """Return the share of each limit that is reserved for every pool and never lent to others."""
    return kept_share / max(1, len(config.list_working_pools()))


def allocate_shares(
    usages: Mapping[str, PoolUsage], available: float, reserved: float
) -> dict[str, float]:
    """Return the target share of each pool, of ``available`` in total.

    If no pool needs more than an even share, each gets an even share.  Otherwise a pool gets the
    sum of its used and waiting fractions, at least ``reserved``, up to a level that is common to
    all pools.  The rest is split evenly among the pools with a held-back task, or among all if
    there are none; pools that use more than their share get nothing of it.  A pool whose share is
    below its usage starts nothing.
    """
    even = available / len(usages)
    if all(usage.used + usage.waiting <= even and not usage.held_back for usage in usages.values()):
        return dict.fromkeys(usages, even)
    wanted = {pool: max(reserved, usage.used + usage.waiting) for pool, usage in usages.items()}
    level = _find_level(usages, wanted, available)
    shares = {pool: min(share, level) for pool, share in wanted.items()}
    spare = available - sum(max(usage.used, shares[pool]) for pool, usage in usages.items())
    recipients = [
        pool for pool, usage in usages.items() if usage.held_back and usage.used <= shares[pool]
    ]
    recipients = recipients or [
        pool for pool, usage in usages.items() if usage.used <= shares[pool]
    ]
    if spare > 0:
        for pool in recipients:
            shares[pool] += spare / len(recipients)
    return _allow_one_start(usages, shares, available, reserved)


def find_next_shares(
    usages: Mapping[str, PoolUsage], targets: Mapping[str, float], available: float
) -> dict[str, float]:
    """Return the shares to send to the pools now, on the way to ``targets``.

    A share rises only by what no pool may hold any more.  A pool whose share is lowered may hold
    the old share until it has confirmed the new one.
    """
    free = available - sum(usage.held for usage in usages.values())
    next_shares: dict[str, float] = {}
    for pool, usage in sorted(usages.items(), key=lambda item: targets[item[0]] - item[1].bound):
        target = targets[pool]
        if target > usage.held:
            grown = min(target, usage.held + max(0.0, free))
            free -= grown - usage.held
            target = grown if grown > usage.used else usage.bound
        next_shares[pool] = target
    return next_shares


def _find_level(
    usages: Mapping[str, PoolUsage], wanted: Mapping[str, float], available: float
) -> float:
    """Return the highest level at which the wanted shares, capped at it, fit in ``available``.

    A pool that uses more than that counts with its usage.
    """

    def fits(level: float) -> bool:
        held = (max(usage.used, min(wanted[pool], level)) for pool, usage in usages.items())
        return sum(held) <= available

    low, high = 0.0, max(1.0, *wanted.values())
    if fits(high):
        return high
    for _ in range(LEVEL_STEPS):
        middle = (low + high) / 2
        low, high = (middle, high) if fits(middle) else (low, middle)
    return low


def _allow_one_start(
    usages: Mapping[str, PoolUsage], shares: dict[str, float], available: float, reserved: float
) -> dict[str, float]:
    """Raise the share of a pool without runs if it is too small to start a single task.

    If the limit is the size of a few tasks, an even split leaves each pool less than one task
    needs.  The shares of the other pools are lowered to their usage or the reserved share.  For a
    task of nearly the size of the limit, the reserved shares are used as well.
    """
    starving = [
        pool
        for pool, usage in usages.items()
        if usage.held_back and not usage.used and shares[pool] < usage.held_back
    ]
    used = sum(usage.used for usage in usages.values())
    for pool in sorted(starving):
        if used + usages[pool].held_back > available:
            continue
        reduced = {
            other: min(shares[other], max(usage.used, reserved))
            if other != pool
            else usage.held_back
            for other, usage in usages.items()
        }
        if sum(max(usage.used, reduced[other]) for other, usage in usages.items()) <= available:
            return reduced
        return {
            other: min(shares[other], usage.used) if other != pool else usage.held_back
            for other, usage in usages.items()
        }
    return shares
