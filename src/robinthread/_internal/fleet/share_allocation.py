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


def allocate_shares(uses: Mapping[str, PoolUsage], room: float, kept: float) -> dict[str, float]:
    """Return the share that each pool should have, of ``room`` in all.

    Pools get what they take and want, up to a common level, and ``kept`` at least where that
    level allows; what is left over is dealt out evenly, to pools that want more if there are
    any.  A share below what a pool takes stops its starts.  Where none wants more than an even
    share, each has that.
    """
    even = room / len(uses)
    if all(use.used + use.waiting <= even and not use.held_back for use in uses.values()):
        return dict.fromkeys(uses, even)
    wanted = {pool: max(kept, use.used + use.waiting) for pool, use in uses.items()}
    level = _find_level(uses, wanted, room)
    shares = {pool: min(share, level) for pool, share in wanted.items()}
    spare = room - sum(max(use.used, shares[pool]) for pool, use in uses.items())
    takers = [pool for pool, use in uses.items() if use.held_back and use.used <= shares[pool]]
    takers = takers or [pool for pool, use in uses.items() if use.used <= shares[pool]]
    if spare > 0:
        for pool in takers:
            shares[pool] += spare / len(takers)
    return _let_one_begin(uses, shares, room, kept)


def find_next_shares(
    uses: Mapping[str, PoolUsage], targets: Mapping[str, float], room: float
) -> dict[str, float]:
    """Return what each pool may be told now: shares rise only by what no pool may hold any more.

    A pool that is to have less holds on to it until it has confirmed that it heard so.
    """
    free = room - sum(use.held for use in uses.values())
    told: dict[str, float] = {}
    for pool, use in sorted(uses.items(), key=lambda item: targets[item[0]] - item[1].bound):
        target = targets[pool]
        if target > use.held:
            grown = min(target, use.held + max(0.0, free))
            free -= grown - use.held
            target = grown if grown > use.used else use.bound
        told[pool] = target
    return told


def _find_level(uses: Mapping[str, PoolUsage], wanted: Mapping[str, float], room: float) -> float:
    """Return the highest level up to which all wants can be met."""

    def fits(level: float) -> bool:
        held = (max(use.used, min(wanted[pool], level)) for pool, use in uses.items())
        return sum(held) <= room

    low, high = 0.0, max(1.0, *wanted.values())
    if fits(high):
        return high
    for _ in range(LEVEL_STEPS):
        middle = (low + high) / 2
        low, high = (middle, high) if fits(middle) else (low, middle)
    return low


def _let_one_begin(
    uses: Mapping[str, PoolUsage], shares: dict[str, float], room: float, kept: float
) -> dict[str, float]:
    """Let a pool in which nothing runs begin one task where its share lets none begin.

    A limit of a few tasks' size, split evenly, leaves each pool less than one task takes.  Even
    what is never lent goes to such a task where it is as large as nearly all of the limit.
    """
    starving = [
        pool
        for pool, use in uses.items()
        if use.held_back and not use.used and shares[pool] < use.held_back
    ]
    used = sum(use.used for use in uses.values())
    for pool in sorted(starving):
        if used + uses[pool].held_back > room:
            continue
        spared = {
            other: min(shares[other], max(use.used, kept)) if other != pool else use.held_back
            for other, use in uses.items()
        }
        if sum(max(use.used, spared[other]) for other, use in uses.items()) <= room:
            return spared
        return {
            other: min(shares[other], use.used) if other != pool else use.held_back
            for other, use in uses.items()
        }
    return shares
