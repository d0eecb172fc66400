"""A wave that is short of time starts no more upkeep than its bound allows.

A wave exceeded its bound by one machine, without any failure or change of steward.  A wave that is
short of time takes machines from its pools as well as from the reserve, and one plan gave all free
slots to both: of 24 machines, 6 may be down at once and 4 were, so the reserve started one upkeep
and the pools two.  The log showed it:

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
# At this rate, vacated machines of the pools wait for a slot while others move to the reserve.
JOB_PERIOD_S = 0.1


async def _play(at_once_max: int) -> tuple[int, int]:
    """Return the peak number of machines that were down, and how many had upkeep in time."""
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
    submitting = asyncio.create_task(feed_in_turns(platform, JOB_PERIOD_S))
    await asyncio.sleep(4)
    platform.request_wave(UpkeepWave(WAVE, due, DURATION_S, at_once_max))
    await asyncio.sleep(DURATION_S)
    submitting.cancel()
    waves = platform.machines.waves
    return waves.down_peak[WAVE], len(waves.begun[WAVE])


class WaveShortOfTimeTest(TestCase):
    def test_each_upkeep_slot_is_used_once_by_reserve_and_pools(self) -> None:
        for at_once_max in (2, 6):
            found = run_virtual(_play(at_once_max))
            self.assertEqual((at_once_max, len(IN_POOLS) + IN_RESERVE), found)
