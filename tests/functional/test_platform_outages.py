"""Unavailable, slow and truncated platform log, halls cut off from it, and starts without it."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.fold.kinds.config_published import ConfigPublished
from robinthread._internal.results import Family, ResultCode
from tests.lib.fleets import (
    ONE_HALL,
    SETTINGS,
    get_daemon,
    make_request,
    publish,
    serve,
    start_fleet,
    wait_until,
)
from tests.lib.virtual import run_virtual


class PlatformTest(TestCase):
    def test_log_outage_allows_repeatable_requests_and_refuses_claims_at_once(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            fleet.log.faults.is_out = True
            await asyncio.sleep(30.0)
            daemon = get_daemon(fleet)
            repeatable = await serve(daemon, "r", is_repeatable=True)
            self.assertEqual(ResultCode.RAN, repeatable.code)
            started_at_s = asyncio.get_running_loop().time()
            claimed = await serve(daemon, "c")
            self.assertEqual(ResultCode.PLATFORM_OUT, claimed.code)
            self.assertTrue(asyncio.get_running_loop().time() - started_at_s < 1.0)
            self.assertFalse(daemon.is_fresh)
            fleet.log.faults.is_out = False
            await asyncio.sleep(5.0)
            self.assertEqual(ResultCode.RAN, (await serve(daemon, "c")).code)

        run_virtual(work())

    def test_request_after_first_failure_of_slow_log_is_refused_at_once(self) -> None:
        async def work() -> None:
            fleet = await start_fleet(ONE_HALL)
            fleet.log.faults = replace(fleet.log.faults, is_out=True, delay_s=1.0)
            daemon = fleet.daemons["kandy-d0"]
            request = make_request(daemon, "slow")
            await daemon.entry.serve(request)
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            answer = await daemon.entry.serve(request)
            self.assertEqual(Family.DID_NOT_RUN, answer.code.family)
            self.assertTrue(loop.time() - started_at_s < 0.1, loop.time() - started_at_s)

        run_virtual(work())

    def test_cut_off_hall_serves_repeatable_requests_and_recovers(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            fleet.cut_halls.add("kandy")
            fleet.cut_from_platform.add("kandy")
            daemon, other = fleet.daemons["kandy-d0"], fleet.daemons["matale-d0"]
            await wait_until(lambda: "kandy" in other.state.cut_halls)
            await asyncio.sleep(5.0)
            self.assertEqual(ResultCode.RAN, (await serve(daemon, 1, is_repeatable=True)).code)
            self.assertEqual(Family.DID_NOT_RUN, (await serve(daemon, 2)).code.family)
            self.assertEqual(ResultCode.RAN, (await serve(other, 3)).code)
            fleet.cut_halls.clear()
            fleet.cut_from_platform.clear()
            await wait_until(lambda: not other.state.cut_halls)
            await asyncio.sleep(5.0)
            self.assertEqual(ResultCode.RAN, (await serve(daemon, 4)).code)

        run_virtual(work())

    def test_new_daemon_starts_from_a_snapshot_after_log_truncation(self) -> None:
        async def work() -> None:
            settings = replace(
                SETTINGS, platform=replace(SETTINGS.platform, snapshot_every_records=20)
            )
            fleet = await start_fleet(settings=settings)
            fleet.log._retention_records = 60
            for number in range(150):
                await publish(get_daemon(fleet), ConfigPublished(f"c{number}", "x", 0))
            await asyncio.sleep(2.0)
            new_daemon = await fleet.start_daemon("kandy-d9", "kandy")
            await new_daemon.wait_until_member()
            self.assertEqual(150, len(new_daemon.state.config))
            self.assertEqual(ResultCode.RAN, (await serve(new_daemon, "new")).code)

        run_virtual(work())

    def test_new_daemon_starts_from_a_peer_during_log_outage(self) -> None:
        async def work() -> None:
            fleet = await start_fleet()
            fleet.log.faults.is_out = True
            await asyncio.sleep(1.0)
            new_daemon = await fleet.start_daemon("kandy-d9", "kandy")
            self.assertTrue(new_daemon.is_ready)
            answer = await serve(new_daemon, "peer", is_repeatable=True)
            self.assertEqual(ResultCode.RAN, answer.code)

        run_virtual(work())
