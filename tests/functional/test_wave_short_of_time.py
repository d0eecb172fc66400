"""A wave that is short of time begins no more upkeep than it allows.

One upkeep more began than a wave allowed, by the one steward that there was, on a day on which
nothing failed.  A wave that is short of time takes machines from its pools as well as from the
reserve, and one look at the fleet gave both of them the places that were free: of 24 machines, 6
may be down at once and 4 were, so the reserve began one and the pools two.  What settled it:

    6.142 upkeep_begins machines=[m-15431, m-1e0d2, m-edb55] in_reserve=1 at_once_max=6
          down=[m-4f7e5, m-5097b, m-5961c, m-c6279] pending_count=14 left_s=22.4
    6.257 wave_over_bound down=[m-15431, m-1e0d2, m-4f7e5, m-5097b, m-5961c, m-c6279, m-edb55]
"""

import asyncio

from testtools import TestCase

from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.standins.platform_standin import RESERVE, PlatformStandin
from tests.lib.drawn_waves import OTHER_POOL, POOLS, QUEUES, feed_in_turns
from tests.lib.job_platforms import HOST_CAPACITY, POOL, plan_second
from tests.lib.virtual import run_virtual

IN_POOLS = (POOL, OTHER_POOL) * 2
IN_RESERVE = 16
WAVE = 1
DURATION_S = 26.0
# Machines that the pools have emptied wait for a place as others come into the reserve.
JOB_PERIOD_S = 0.1


async def _play(at_once_max: int) -> tuple[int, int]:
    """Return how many machines were down at once, and how many had their upkeep in time."""
    platform = PlatformStandin(plan_second)
    platform.configure(1, QUEUES, POOLS)
    pools = (*IN_POOLS, *(RESERVE,) * IN_RESERVE)
    due = tuple(
        platform.machines.add(pool, f"r{number % 4}", HOST_CAPACITY)
        for number, pool in enumerate(pools)
    )
    for number in range(3):
        platform.start_node(f"node{number}")
    await asyncio.sleep(2)
    feeding = asyncio.create_task(feed_in_turns(platform, JOB_PERIOD_S))
    await asyncio.sleep(4)
    platform.request_wave(UpkeepWave(WAVE, due, DURATION_S, at_once_max))
    await asyncio.sleep(DURATION_S)
    feeding.cancel()
    waves = platform.machines.waves
    return waves.down_peak[WAVE], len(waves.begun[WAVE])


class WaveShortOfTimeTest(TestCase):
    def test_reserve_and_pools_are_given_each_place_once(self) -> None:
        for at_once_max in (2, 6):
            found = run_virtual(_play(at_once_max))
            self.assertEqual((at_once_max, len(IN_POOLS) + IN_RESERVE), found)
