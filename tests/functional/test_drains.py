"""Drains of hosts: running tasks are not interrupted, and no drain waits longer than needed.

Guards against tasks that a dispatcher doesn't know of, tasks that should move or stay, leases
whose release was lost, and hosts that don't return.
"""

import asyncio
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.fold.kinds.wave_created import WaveCreated
from robinthread._internal.models.wave import WaveKind, WaveState
from robinthread._internal.results import ResultCode
from robinthread._internal.settings.wave_settings import WaveSettings
from robinthread._internal.standins.fleet_standin import FleetStandin, HallSize
from robinthread._internal.standins.job import Job, encode_job
from robinthread._internal.upstream.task import Task
from tests.lib.fleets import SETTINGS, get_daemon, publish, serve, start_fleet, wait_until
from tests.lib.virtual import run_virtual

ONE_HALL = (HallSize("kandy", 2, 2),)
DRAIN_AT_ONCE = replace(SETTINGS, waves=WaveSettings(policy="batch", drain_timeout_s=5.0))
LONG_S = 500.0


class DrainsTest(TestCase):
    def test_task_that_no_dispatcher_knows_of_is_not_cut_short(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL)
            worker = fleet.workers["kandy-h000:80"]
            body = encode_job(Job(run_s=30.0))
            stray = asyncio.create_task(
                worker.run(Task("stray", "stray", "tiles", 1 << 40, body), 100.0)
            )
            await asyncio.sleep(0.1)
            worker.token = 0
            await self._run_wave(fleet, "kandy-h000", 100.0)
            self.assertEqual(0, fleet.ledger.cut_short_count)
            self.assertEqual("ran", (await stray).status.value)

        run_virtual(work())

    def test_long_task_moves_after_the_drain_has_fenced_its_worker(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL, settings=DRAIN_AT_ONCE)
            calls = [
                asyncio.create_task(
                    serve(get_daemon(fleet), f"long{n}", run_s=LONG_S, left_s=2 * LONG_S)
                )
                for n in range(2)
            ]
            await asyncio.sleep(1.0)
            await self._run_wave(fleet, "kandy-h000", 60.0)
            codes = {answer.code for answer in await asyncio.gather(*calls)}
            self.assertEqual({ResultCode.RAN}, codes)
            self.assertEqual((), fleet.ledger.list_keys_run_twice())
            self.assertEqual(1, sum(fleet.ledger.checkpointed.values()))

        run_virtual(work())

    def test_task_whose_move_costs_more_than_its_wait_stays(self) -> None:
        async def work() -> None:
            waves = replace(DRAIN_AT_ONCE.waves, moves_weight=1000.0)
            fleet = await start_fleet(ONE_HALL, settings=replace(SETTINGS, waves=waves))
            calls = [
                asyncio.create_task(serve(get_daemon(fleet), f"dear{n}", run_s=40.0, left_s=LONG_S))
                for n in range(2)
            ]
            await asyncio.sleep(1.0)
            await self._run_wave(fleet, "kandy-h000", 100.0)
            await asyncio.gather(*calls)
            self.assertEqual(0, sum(fleet.ledger.checkpointed.values()))

        run_virtual(work())

    def test_worker_that_cannot_checkpoint_is_waited_for(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL, settings=DRAIN_AT_ONCE)
            for worker in fleet.workers.values():
                worker.can_checkpoint = False
            calls = [
                asyncio.create_task(serve(get_daemon(fleet), f"stay{n}", run_s=40.0, left_s=LONG_S))
                for n in range(2)
            ]
            await asyncio.sleep(1.0)
            await self._run_wave(fleet, "kandy-h000", 100.0)
            codes = {answer.code for answer in await asyncio.gather(*calls)}
            self.assertEqual({ResultCode.RAN}, codes)
            self.assertEqual(0, fleet.ledger.cut_short_count)

        run_virtual(work())

    def test_slot_whose_release_was_lost_is_not_waited_for(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL, settings=DRAIN_AT_ONCE)
            daemon = get_daemon(fleet)
            turn = daemon.dispatch.get_dispatching_daemon("tiles", "kandy")
            other = next(name for name in fleet.daemons if name != turn)
            calls = [
                asyncio.create_task(
                    serve(fleet.daemons[other], f"n{n}", run_s=1.0, left_s=2 * LONG_S)
                )
                for n in range(4)
            ]
            await asyncio.sleep(0.9)
            fleet.network.lost_share = 1.0
            await asyncio.gather(*calls)
            fleet.network.lost_share = 0.0
            await self._run_wave(fleet, "kandy-h000", 60.0)
            self.assertTrue(fleet.count("leases_reclaimed") > 0)

        run_virtual(work())

    def test_host_that_never_returns_is_recorded_as_failed(self) -> None:
        async def work() -> None:
            waves = replace(SETTINGS.waves, return_timeout_s=20.0)
            fleet = await start_fleet(ONE_HALL, settings=replace(SETTINGS, waves=waves))
            daemon = get_daemon(fleet)
            fleet.workers["kandy-h000:80"].returns_after_reboot = False
            await publish(daemon, WaveCreated("w", "r", WaveKind.REBOOT, ("kandy-h000",)))
            await wait_until(lambda: daemon.state.hosts["kandy-h000"].phase.value == "failed")
            self.assertIs(WaveState.RUNNING, daemon.state.waves["w"].state)

        run_virtual(work())

    async def _run_wave(self, fleet: FleetStandin, host: str, limit_s: float) -> None:
        daemon = get_daemon(fleet)
        await publish(daemon, WaveCreated("w", "r", WaveKind.REBOOT, (host,)))
        await wait_until(lambda: daemon.state.waves["w"].state is WaveState.DONE, limit_s)
