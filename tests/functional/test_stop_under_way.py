"""A pool changes hands while a stop of its last owner is under way."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from tests.lib.job_platforms import find_breaks, get_owner, wait_until
from tests.lib.lasting import get_first_host, list_runs, start_lasting
from tests.lib.virtual import run_virtual


class StopUnderWayTest(TestCase):
    def test_task_does_not_run_again_before_its_stop_is_over(self) -> None:
        async def work() -> None:
            platform = await start_lasting()
            host, run = get_first_host(platform), list_runs(platform)[0]
            platform.list_host(replace(host.record, is_draining=True, leaves_in_ms=5000))
            await wait_until(lambda: any(run.is_stopping for run in host._present.values()))
            owner = get_owner(platform)
            assert owner is not None
            await platform.nodes[owner].assembled.node.stop()
            await wait_until(lambda: get_owner(platform) not in (None, owner))
            self.assertIsNone(run.ended_at_s)
            await asyncio.sleep(3)
            self.assertEqual("stopped", run.end)
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())
