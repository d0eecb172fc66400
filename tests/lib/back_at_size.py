"""Recovery of a large platform after all its nodes lose power at once."""

import asyncio
from collections.abc import Sequence

from tests.lib.back_callers import feed, wait_until_done
from tests.lib.back_figures import RECOVERY_S, BackFigures, measure
from tests.lib.back_site import Site, Size, Trouble, lose_power, start_site
from tests.lib.job_platforms import get_owner

# Jobs come for this long after RECOVERY_S, within which the platform must serve again.
AFTER_S = 4.0
POLL_S = 0.02


async def play_back(
    troubles: Sequence[Trouble] = (), size: Size | None = None, seed: int = 1
) -> BackFigures:
    """Start a platform and play a loss of power during other faults."""
    return await play_at(await start_site(size or Size(), seed), troubles)


async def play_at(site: Site, troubles: Sequence[Trouble] = ()) -> BackFigures:
    """Play a loss of power during other faults; measure the recovery once machines are back."""
    loop = asyncio.get_running_loop()
    heartbeats = asyncio.create_task(site.platform.send_heartbeats(site.size.heartbeat_s))
    jobs: list[asyncio.Task[None]] = []
    feeding = asyncio.create_task(feed(site, jobs))
    lost_at_s = loop.time() + site.size.settle_s
    site.back_at_s = lost_at_s + site.size.away_s
    going = [asyncio.create_task(trouble(site)) for trouble in troubles]
    await asyncio.sleep(site.size.settle_s)
    await lose_power(site)
    opened: dict[str, float] = {}
    recording = asyncio.create_task(_record_opened(site, opened))
    await asyncio.sleep(RECOVERY_S + AFTER_S)
    feeding.cancel()
    await asyncio.gather(*going, *jobs)
    undone = await wait_until_done(site)
    recording.cancel()
    heartbeats.cancel()
    return measure(site, undone, opened)


async def _record_opened(site: Site, opened: dict[str, float]) -> None:
    """Record when each pool is first served again, in seconds after the machines are back."""
    while True:
        for pool in site.pools:
            if pool not in opened and get_owner(site.platform, pool) is not None:
                opened[pool] = asyncio.get_running_loop().time() - site.back_at_s
        await asyncio.sleep(POLL_S)
