"""A machine counts as down until its host is back after the upkeep.

Guards against a wave that exceeds its bound although each order is executed at once: a steward
that relied on the machine list alone counted a machine as back as soon as the list showed it up
before its host had started, showed it in a state other than upkeep, or did not show the order
yet.  With hosts 1 s later than the list, a wave that allows one machine had a second one down
at 7.062 s; with a list 0.5 s late, at 5.028 s.
"""

import asyncio

from testtools import TestCase

from robinthread._internal.models.machine import MachineState
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.standins.platform_standin import PlatformStandin, StartTimeSource
from tests.lib.job_platforms import HOST_CAPACITY, POOL, QUEUE, get_owner, plan_second, wait_until
from tests.lib.virtual import run_virtual

# A pool without a reserve: machines undergo upkeep where they are.
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
    """Return the peak number of machines down, and the number that had their upkeep in time."""
    platform = await _start(at_once_max, keeps_host_ids)
    platform.machines.host_late_s = host_late_s
    platform.machines.state_before_host = shown_early
    if list_lag_s:
        platform.machines.delay_lists(list_lag_s)
    await asyncio.sleep(DURATION_S)
    waves = platform.machines.waves
    return waves.down_peak[WAVE], len(waves.begun[WAVE])


class UpkeepReturnsTest(TestCase):
    def test_machine_is_down_until_its_host_has_started(self) -> None:
        for state in (MachineState.UP, MachineState.DOWN, MachineState.MOVING):
            found = run_virtual(_play(1, host_late_s=1.0, shown_early=state))
            self.assertEqual((1, MACHINES), found)

    def test_machine_without_a_host_is_down_longer_than_a_new_machine_is_awaited(self) -> None:
        """It counted as back 3 s after the list showed it up; its host started after 4 s."""
        self.assertEqual((1, MACHINES), run_virtual(_play(1, host_late_s=4.0)))

    def test_machine_is_down_before_a_late_list_shows_it(self) -> None:
        for at_once_max in (1, 2):
            found = run_virtual(_play(at_once_max, list_lag_s=0.5))
            self.assertEqual((at_once_max, MACHINES), found)

    def test_machine_is_back_with_a_new_incarnation_of_its_host(self) -> None:
        """Each machine was awaited until it counted as lost, so the wave ran out of time."""
        for host_late_s in (0.0, 1.0):
            found = run_virtual(_play(1, host_late_s=host_late_s, keeps_host_ids=True))
            self.assertEqual((1, MACHINES), found)
