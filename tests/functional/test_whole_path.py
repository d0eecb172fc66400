"""End-to-end runs of a fleet: requests, a wave under load and a migration."""

import asyncio

from testtools import TestCase

from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.fold.kinds.wave_created import WaveCreated
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.wave import WaveKind, WaveState
from robinthread._internal.results import ResultCode
from robinthread._internal.standins.fleet_standin import FleetStandin
from tests.lib.fleets import POOL, get_daemon, publish, serve, start_fleet, wait_until
from tests.lib.virtual import run_virtual


class WholePathTest(TestCase):
    def test_request_is_served_by_any_daemon(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            for index in range(4):
                for is_repeatable in (True, False):
                    answer = await serve(
                        get_daemon(fleet, index),
                        f"{index}-{is_repeatable}",
                        is_repeatable=is_repeatable,
                    )
                    self.assertEqual(ResultCode.RAN, answer.code)
            self.assertEqual((), fleet.ledger.list_keys_run_twice())

        run_virtual(work())

    def test_wave_under_load_completes_all_requests_within_the_budget(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(budget=Budget(min_serving_hosts=6))
            daemon = get_daemon(fleet)
            is_budget_met = []
            daemon.follower.watch(
                lambda folded: is_budget_met.append(
                    daemon.state.pools[POOL].budget.is_met_by(daemon.state.iter_pool_hosts(POOL))
                )
            )
            hosts = tuple(daemon.state.hosts)
            await publish(daemon, WaveCreated("w", "kernel", WaveKind.REBOOT, hosts))
            answers = await asyncio.gather(
                *(self._serve_later(fleet, number) for number in range(600))
            )
            await wait_until(lambda: daemon.state.waves["w"].state is WaveState.DONE)
            self.assertEqual({ResultCode.RAN}, {answer.code for answer in answers})
            self.assertTrue(all(is_budget_met))
            self.assertEqual(0, fleet.ledger.cut_short_count)
            self.assertEqual(0, fleet.ledger.refused_busy_count)
            self.assertEqual({1}, {worker.boots_count for worker in fleet.workers.values()})

        run_virtual(work())

    def test_migration_moves_a_pool_to_another_hall(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(assign=False, budget=Budget(min_serving_hosts=3))
            daemon = get_daemon(fleet)
            from robinthread._internal.fold.kinds.host_assigned import HostAssigned

            old = tuple(name for name in daemon.state.hosts if name.startswith("kandy"))
            for name in old:
                await publish(daemon, HostAssigned(name, POOL))
            await publish(
                daemon,
                WaveCreated(
                    "m", "move", WaveKind.RELEASE, old, to_pool=POOL, to_hall="matale", to_count=4
                ),
            )
            await wait_until(lambda: daemon.state.waves["m"].state is WaveState.DONE)
            halls = {host.hall for host in daemon.state.iter_pool_hosts(POOL)}
            self.assertEqual({"matale"}, halls)
            answer = await serve(daemon, "after")
            self.assertEqual(ResultCode.RAN, answer.code)

        run_virtual(work())

    async def _serve_later(self, fleet: FleetStandin, number: int) -> CallerAnswer:
        await asyncio.sleep(number * 0.01)
        daemon = get_daemon(fleet, number % 4)
        return await serve(daemon, number, is_repeatable=number % 3 != 0)
