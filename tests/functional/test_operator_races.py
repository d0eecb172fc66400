"""Operator changes that conflict with each other or with a running wave."""

import asyncio

from testtools import TestCase

from robinthread._internal.fold.kinds.host_assigned import HostAssigned
from robinthread._internal.fold.kinds.pool_budget_set import PoolBudgetSet
from robinthread._internal.fold.kinds.pool_created import PoolCreated
from robinthread._internal.fold.kinds.pool_removed import PoolRemoved
from robinthread._internal.fold.kinds.wave_created import WaveCreated
from robinthread._internal.fold.kinds.wave_state_set import WaveStateSet
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.wave import WaveKind, WaveState
from robinthread._internal.results import ResultCode
from tests.lib.fleets import (
    POOL,
    get_daemon,
    publish,
    start_fleet,
    wait_until,
)
from tests.lib.virtual import run_virtual


class OperatorsRaceTest(TestCase):
    def test_two_waves_over_one_host_have_one_winner_everywhere(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            hosts = tuple(get_daemon(fleet).state.hosts)[:2]
            results = await asyncio.gather(
                *(
                    get_daemon(fleet, n).publish(WaveCreated(f"w{n}", "r", WaveKind.REBOOT, hosts))
                    for n in range(4)
                )
            )
            faults = [result.failure().code for result in results if not _is_success(result)]
            self.assertEqual([ResultCode.HOST_IN_OTHER_WAVE] * 3, faults)
            waves = {tuple(daemon.state.waves) for daemon in fleet.daemons.values()}
            self.assertEqual(1, len(waves))

        run_virtual(work())

    def test_budget_raised_during_a_wave_applies_to_its_remaining_hosts(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(budget=Budget(min_serving_hosts=4))
            daemon = get_daemon(fleet)
            await publish(daemon, WaveCreated("w", "r", WaveKind.REBOOT, tuple(daemon.state.hosts)))
            version = daemon.state.pools[POOL].version
            await publish(daemon, PoolBudgetSet(POOL, Budget(min_serving_hosts=7), version))
            away: list[int] = []
            daemon.follower.watch(
                lambda _: away.append(
                    sum(not host.is_serving for host in daemon.state.hosts.values())
                )
            )
            await wait_until(lambda: daemon.state.waves["w"].state is WaveState.DONE)
            self.assertTrue(max(away[len(away) // 2 :]) <= 1)

        run_virtual(work())

    def test_pool_under_a_wave_is_not_removed_and_stale_changes_lose(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            daemon = get_daemon(fleet)
            version = daemon.state.pools[POOL].version
            removed = await daemon.publish(PoolRemoved(POOL, version))
            self.assertEqual(ResultCode.POOL_IN_USE, removed.failure().code)
            stale = await daemon.publish(PoolBudgetSet(POOL, Budget(), version - 1))
            self.assertEqual(ResultCode.CONFLICT, stale.failure().code)
            taken = await daemon.publish(HostAssigned(next(iter(daemon.state.hosts)), POOL))
            self.assertEqual(ResultCode.HOST_IN_OTHER_POOL, taken.failure().code)

        run_virtual(work())

    def test_repeated_operation_yields_the_first_outcome(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            for n in range(3):
                result = await get_daemon(fleet, n).publish(PoolCreated("once", Budget()), "op-1")
                self.assertTrue(_is_success(result))

        run_virtual(work())

    def test_paused_wave_makes_no_progress_until_resumed(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(budget=Budget(min_serving_hosts=7))
            daemon = get_daemon(fleet)
            await publish(daemon, WaveCreated("w", "r", WaveKind.REBOOT, tuple(daemon.state.hosts)))
            await wait_until(lambda: len(daemon.state.waves["w"].done) >= 2)
            await publish(
                daemon, WaveStateSet("w", WaveState.PAUSED, daemon.state.waves["w"].version)
            )
            await asyncio.sleep(20.0)
            done = len(daemon.state.waves["w"].done)
            await asyncio.sleep(60.0)
            self.assertEqual(done, len(daemon.state.waves["w"].done))
            await publish(
                daemon, WaveStateSet("w", WaveState.RUNNING, daemon.state.waves["w"].version)
            )
            await wait_until(lambda: daemon.state.waves["w"].state is WaveState.DONE)

        run_virtual(work())


def _is_success(result: object) -> bool:
    return type(result).__name__ == "Success"
