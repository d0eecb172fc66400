"""A wave stays within its bound when upkeep orders are executed seconds late."""

import asyncio

from testtools import TestCase

from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.standins.platform_standin import RESERVE, PlatformStandin
from tests.lib.job_platforms import HOST_CAPACITY, POOL, QUEUE, get_owner, plan_second, wait_until
from tests.lib.virtual import run_virtual

POOLS = (PoolPolicy(POOL), PoolPolicy(RESERVE, is_reserve=True))
WAVE = 1
AT_ONCE_MAX = 2
MACHINES = 14
# Delays of the lost steward's orders; the next steward takes over within 4 s.
LATE_S = (5.0, 6.0, 7.0, 9.0, 11.0)


def _get_steward(platform: PlatformStandin) -> str | None:
    nodes = platform.nodes.items()
    return next((name for name, node in nodes if node.assembled.node._steward is not None), None)


async def _start() -> PlatformStandin:
    platform = PlatformStandin(plan_second)
    platform.configure(1, (QUEUE,), POOLS)
    for number in range(4):
        platform.machines.add(POOL, f"r{number % 2}", HOST_CAPACITY)
    due = tuple(
        platform.machines.add(RESERVE, f"r{number % 2}", HOST_CAPACITY)
        for number in range(MACHINES)
    )
    for number in range(4):
        platform.start_node(f"node{number}")
    await wait_until(lambda: get_owner(platform) is not None)
    await wait_until(lambda: _get_steward(platform) is not None)
    await asyncio.sleep(2)
    platform.request_wave(UpkeepWave(WAVE, due, 60, AT_ONCE_MAX))
    return platform


async def _lose_steward(late_s: float) -> tuple[int, int]:
    """Return the peak number of machines down, and the number that had their upkeep."""
    platform = await _start()
    faults = platform.machines.faults
    faults.lost_share, faults.late_s = 1.0, (late_s, late_s)
    await asyncio.sleep(0.5)
    platform.kill_node(_get_steward(platform) or "")
    faults.lost_share = 0.0
    await asyncio.sleep(40)
    return platform.machines.waves.down_peak[WAVE], len(platform.machines.waves.begun[WAVE])


async def _refuse_repeats() -> tuple[int, int]:
    """Return the same for a steward that stays and whose first repeated orders are rejected."""
    platform = await _start()
    faults = platform.machines.faults
    faults.lost_share, faults.late_s = 1.0, (4.0, 4.0)
    await asyncio.sleep(0.5)
    faults.lost_share, faults.late_s = 0.0, (0.0, 0.0)
    faults.refused.add("*")
    await asyncio.sleep(1.6)
    faults.refused.clear()
    # The rejected orders would be repeated 1 s later: until then, others could use their slots.
    await asyncio.sleep(40)
    return platform.machines.waves.down_peak[WAVE], len(platform.machines.waves.begun[WAVE])


class LateUpkeepOrdersTest(TestCase):
    def test_orders_of_a_lost_steward_count_until_they_are_settled(self) -> None:
        found = {late_s: run_virtual(_lose_steward(late_s)) for late_s in LATE_S}
        self.assertEqual(dict.fromkeys(LATE_S, (AT_ONCE_MAX, MACHINES)), found)

    def test_order_without_response_counts_if_its_repetition_is_rejected(self) -> None:
        self.assertEqual((AT_ONCE_MAX, MACHINES), run_virtual(_refuse_repeats()))
