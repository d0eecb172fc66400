"""A machine's upkeep is over when its host is back, not when the list of machines says so.

A wave went over its bound by an order that was carried out at once.  The steward went by the list
alone: a machine counted as back as soon as the list showed it up, though its host had not come, or
showed it as anything but in upkeep, or did not show the order yet.  The stand-in told of a wave
that allows one machine, with hosts that come 1 s after the list shows their machine up:
"7.062 s: m-1 by node2/life3: 1 of wave 1 are down"; and at 5.028 s where the list is 0.5 s late.
"""

import asyncio

from testtools import TestCase

from robinthread._internal.models.machine import MachineState
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.standins.platform_standin import PlatformStandin, StartTimeSource
from tests.lib.job_platforms import HOST_CAPACITY, POOL, QUEUE, get_owner, plan_second, wait_until
from tests.lib.virtual import run_virtual

# A pool without a reserve: upkeep is done where the machine is.
POOLS = (PoolPolicy(POOL),)
WAVE = 1
MACHINES = 6
DURATION_S = 60.0


async def _start(at_once_max: int, keeps_host_ids: bool = False) -> PlatformStandin:
    platform = PlatformStandin(plan_second)
    platform.keeps_host_ids, platform.start_time_sources = keeps_host_ids, tuple(StartTimeSource)
    platform.configure(1, (QUEUE,), POOLS)
    due = tuple(
        platform.machines.add(POOL, f"r{number % 2}", HOST_CAPACITY) for number in range(MACHINES)
    )
    for number in range(3):
        platform.start_node(f"node{number}")
    await wait_until(lambda: get_owner(platform) is not None)
    await asyncio.sleep(4)
    platform.request_wave(UpkeepWave(WAVE, due, DURATION_S, at_once_max))
    return platform


async def _play(
    at_once_max: int,
    host_late_s: float = 0.0,
    shown_early: MachineState = MachineState.UP,
    list_lag_s: float = 0.0,
    keeps_host_ids: bool = False,
) -> tuple[int, int]:
    """Return how many machines were down at once, and how many had their upkeep in time."""
    platform = await _start(at_once_max, keeps_host_ids)
    platform.machines.host_late_s = host_late_s
    platform.machines.state_before_host = shown_early
    if list_lag_s:
        platform.machines.delay_lists(list_lag_s)
    await asyncio.sleep(DURATION_S)
    waves = platform.machines.waves
    return waves.down_peak[WAVE], len(waves.begun[WAVE])


class UpkeepReturnsTest(TestCase):
    def test_machine_is_down_until_its_host_has_come(self) -> None:
        for state in (MachineState.UP, MachineState.DOWN, MachineState.MOVING):
            found = run_virtual(_play(1, host_late_s=1.0, shown_early=state))
            self.assertEqual((1, MACHINES), found)

    def test_machine_without_a_host_is_down_for_longer_than_a_newcomer_is_looked_for(self) -> None:
        """It counted as back 3 s after the list had shown it up; its host came after 4 s."""
        self.assertEqual((1, MACHINES), run_virtual(_play(1, host_late_s=4.0)))

    def test_machine_is_down_though_the_list_does_not_show_it_yet(self) -> None:
        for at_once_max in (1, 2):
            found = run_virtual(_play(at_once_max, list_lag_s=0.5))
            self.assertEqual((at_once_max, MACHINES), found)

    def test_machine_is_back_as_another_life_of_the_host_that_it_was(self) -> None:
        """Each was waited for until it counted as lost, so that a wave missed its time."""
        for host_late_s in (0.0, 1.0):
            found = run_virtual(_play(1, host_late_s=host_late_s, keeps_host_ids=True))
            self.assertEqual((1, MACHINES), found)
