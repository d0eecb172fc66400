"""Coroutines that were spawned at a pool's owner just before it ended.

Randomized tests that kill owners ended with "RuntimeWarning: coroutine 'OrderSender.send_start'
was never awaited", which names no pool and no cause.  If an owner ended after it had recorded a
batch and before the first step of the start that followed, that coroutine was neither run nor
closed.
"""

import asyncio
import inspect

from testtools import TestCase

from tests.lib.job_platforms import POOL, get_owner, start_platform, wait_until
from tests.lib.virtual import run_virtual


class UnstartedCoroutineTest(TestCase):
    def test_unstarted_coroutine_is_closed_with_its_owner(self) -> None:
        async def work() -> str:
            platform = await start_platform()
            await wait_until(lambda: get_owner(platform) is not None)
            name = get_owner(platform)
            assert name is not None
            start = asyncio.sleep(1)
            platform.nodes[name].assembled.owned.owners[POOL]._runtime.spawn(start)
            platform.kill_node(name)
            await asyncio.sleep(0.1)
            return inspect.getcoroutinestate(start)

        self.assertEqual(inspect.CORO_CLOSED, run_virtual(work()))
