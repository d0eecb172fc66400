"""Daemons that join, crash, stop as planned or derive a different state."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.fold.kinds.config_published import ConfigPublished
from robinthread._internal.fold.kinds.wave_created import WaveCreated
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.quota import Quota
from robinthread._internal.models.wave import WaveKind, WaveState
from robinthread._internal.results import ResultCode
from tests.lib.fleets import (
    SETTINGS,
    get_daemon,
    make_request,
    publish,
    serve,
    start_fleet,
    wait_until,
)
from tests.lib.virtual import run_virtual


class MembersChangeTest(TestCase):
    def test_claims_are_granted_while_daemons_join_one_after_another(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            fleet.log.faults.delay_s = 0.05
            codes = []
            for number in range(4):
                await fleet.start_daemon(f"kandy-n{number}", "kandy")
                answers = await asyncio.gather(
                    *(serve(get_daemon(fleet), f"{number}-{n}") for n in range(32))
                )
                codes += [answer.code for answer in answers]
            self.assertEqual({ResultCode.RAN}, set(codes))

        run_virtual(work())


class DigestTest(TestCase):
    def test_daemon_whose_state_differs_halts_and_records_an_event(self) -> None:
        async def work() -> None:
            settings = replace(SETTINGS, peers=replace(SETTINGS.peers, digest_every_records=8))
            fleet = await start_fleet(settings=settings)
            differing = fleet.daemons["kandy-d0"]
            differing.follower.folder.state = replace(differing.state, quotas={"x": Quota("x", 1)})
            for number in range(16):
                await publish(fleet.daemons["matale-d0"], ConfigPublished(f"c{number}", "x", 0))
            await wait_until(lambda: differing.is_halted, 10.0)
            answer = await serve(differing, "odd", is_repeatable=True)
            self.assertEqual(ResultCode.NOT_READY, answer.code)
            events = [event.kind for event in differing.events.list_events()]
            self.assertIn("digest_differs", events)
            await asyncio.sleep(10.0)
            halted = [name for name, daemon in fleet.daemons.items() if daemon.is_halted]
            self.assertEqual(["kandy-d0"], halted)

        run_virtual(work())


class DaemonsFailTest(TestCase):
    def test_wave_continues_after_daemons_crash(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(budget=Budget(min_serving_hosts=7))
            daemon = fleet.daemons["matale-d0"]
            await publish(daemon, WaveCreated("w", "r", WaveKind.REBOOT, tuple(daemon.state.hosts)))
            await wait_until(lambda: len(daemon.state.waves["w"].done) >= 1)
            fleet.crash("kandy-d0")
            fleet.crash("kandy-d1")
            await asyncio.sleep(3.0)
            await fleet.start_daemon("kandy-d2", "kandy")
            await wait_until(lambda: daemon.state.waves["w"].state is WaveState.DONE)
            self.assertEqual({1}, {worker.boots_count for worker in fleet.workers.values()})

        run_virtual(work())

    def test_planned_stop_finishes_accepted_requests(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            calls = [
                asyncio.create_task(fleet.call("kandy-d0", make_request(get_daemon(fleet), n)))
                for n in range(50)
            ]
            await asyncio.sleep(0.01)
            await fleet.daemons["kandy-d0"].stop()
            codes = {(await call).code for call in calls}
            self.assertEqual({ResultCode.RAN}, codes)

        run_virtual(work())
