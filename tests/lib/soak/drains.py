"""Hosts that begin to drain during a soak, in series."""

import asyncio
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from robinthread._internal.standins.host_changes import HostState
from robinthread._internal.standins.job_host_standin import JobHostStandin
from tests.lib.soak.world import POOL, SoakWorld

# A host serves on for longer than it announces.
REMAINING_MS = 2_000
SERVES_ON_S = (3.0, 6.0)
REPLACED_AFTER_S = 0.5
SERIES_GAP_S = 1.5
# A host drains only while its pool has this many others that are ready: enough for the lasting
# tasks.
OTHERS_MIN = 3


@dataclass(frozen=True)
class DrainSeries:
    """Hosts of a pool that drain one after another from ``at_s`` on, each for ``for_s``."""

    at_s: float
    pool: str
    count: int
    for_s: float


def draw_drains(
    drawn: random.Random, length_s: float, pools: Sequence[str]
) -> Iterator[DrainSeries]:
    """Yield a series of drains for each pool."""
    for pool in pools:
        count, for_s = drawn.choice((2, 4)), drawn.uniform(*SERVES_ON_S)
        yield DrainSeries(drawn.uniform(0, length_s / 2), pool, count, for_s)


async def play_drains(world: SoakWorld, series: DrainSeries) -> None:
    """Drain hosts of the series' pool, each replaced by another one after its end."""
    await asyncio.sleep(series.at_s)
    leaving = []
    for _ in range(series.count):
        if (host := _pick_ready(world, series.pool)) is not None:
            drain_host(world, host)
            leaving.append(asyncio.create_task(_end_host(world, host, series.for_s)))
        await asyncio.sleep(SERIES_GAP_S)
    await asyncio.gather(*leaving)


def drain_host(world: SoakWorld, host: JobHostStandin) -> None:
    """Write the draining entry of a host, which serves on."""
    world.list_host(replace(host.record, is_draining=True, leaves_in_ms=REMAINING_MS))


def _pick_ready(world: SoakWorld, pool: str) -> JobHostStandin | None:
    """Return the longest listed host of a pool that is ready, if it has ``OTHERS_MIN`` others."""
    ready = [
        host
        for host in world.hosts.hosts.values()
        if host.is_up
        and host.record.pool == pool
        and world.host_changes.get_state(host.record.id) is HostState.READY
    ]
    others_min = OTHERS_MIN if pool == POOL else 1
    ready.sort(key=lambda host: world.host_changes.by_host[host.record.id][-1].at_s)
    return ready[0] if len(ready) > others_min else None


async def _end_host(world: SoakWorld, host: JobHostStandin, for_s: float) -> None:
    await asyncio.sleep(for_s)
    if host.is_up:
        world.crash_host(host.record.id)
        await asyncio.sleep(REPLACED_AFTER_S)
        world.machines.restart(host.record.id)
