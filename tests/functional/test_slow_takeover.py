"""A pool with much stored progress is opened over a slow link."""

import asyncio

from testtools import TestCase

from tests.lib.job_platforms import get_owner, wait_until
from tests.lib.slow_link import start_on_slow_link
from tests.lib.virtual import run_virtual

OPEN_MAX_S = 20


class SlowTakeoverTest(TestCase):
    def test_pool_with_a_thousand_jobs_is_opened_over_a_slow_link(self) -> None:
        async def work() -> None:
            platform = start_on_slow_link()
            took_s = await wait_until(lambda: get_owner(platform) == "slow", OPEN_MAX_S)
            self.assertLess(took_s, OPEN_MAX_S)
            await asyncio.sleep(0)

        run_virtual(work())
