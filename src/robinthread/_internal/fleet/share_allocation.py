"""Dealing out the limits of workspaces over pools.

Answers a limit that binds the sum over pools whose owners are at different nodes: each may let
a workspace take a share of its limit, and the shares of all pools, or what is taken beyond
them, never come to more than the limit.  Load moves between pools within a second, so shares
follow it; a part of each is never lent, so that a pool's first jobs begin without asking.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.fleet_config import FleetConfig

# Halvings of the level to which shares are filled: finer than a task's part of any limit.
LEVEL_STEPS: Final = 24


@dataclass(frozen=True, slots=True)
class PoolUsage:
    """A workspace in one pool, in shares of its limit.

    ``bound`` is the most that the pool may let it take by what it was told.  ``held_back`` is
    what the most urgent start takes that waits for a larger share, 0 where none does.
    """

    used: float
    waiting: float
    held_back: float
    bound: float

    @property
    def held(self) -> float:
        """Return what the pool may hold of the limit now."""
        return max(self.used, self.bound)


def get_reserved_share(kept_share: float, config: FleetConfig) -> float:
    """Return the share of each limit that every pool keeps: that part is never lent."""
    return kept_share / max(1, len(config.list_working_pools()))


def allocate_shares(
    usages: Mapping[str, PoolUsage], available: float, reserved: float
) -> dict[str, float]:
    """Return the share that each pool should have, of ``available`` in all.

    Pools get what they take and want, up to a common level, and ``reserved`` at least where that
    level allows; what is left over is dealt out evenly, to pools that want more if there are
    any.  A share below what a pool takes stops its starts.  Where none wants more than an even
    share, each has that.
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
    """Return what each pool may be told now: shares rise only by what no pool may hold any more.

    A pool that is to have less holds on to it until it has confirmed that it heard so.
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
    """Return the highest level up to which all wants can be met."""

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
    """Let a pool in which nothing runs begin one task where its share lets none begin.

    A limit of a few tasks' size, split evenly, leaves each pool less than one task takes.  Even
    what is never lent goes to such a task where it is as large as nearly all of the limit.
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
