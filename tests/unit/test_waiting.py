"""Waiting for an event with a timeout."""

import asyncio

from testtools import TestCase

from robinthread._internal.utils.waiting import wait_for_event
from tests.lib.virtual import run_virtual


class WaitForEventTest(TestCase):
    def test_cancellation_as_the_event_is_set_ends_the_task(self) -> None:
        async def work() -> None:
            event = asyncio.Event()

            async def wait_forever() -> None:
                while True:
                    await wait_for_event(event, 10)
                    await asyncio.sleep(1)

            task = asyncio.get_running_loop().create_task(wait_forever())
            await asyncio.sleep(0.5)
            event.set()
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait({task}, timeout=5)
            self.assertTrue(task.cancelled())

        run_virtual(work())

    def test_timeout_returns_false(self) -> None:
        async def work() -> None:
            self.assertFalse(await wait_for_event(asyncio.Event(), 1))

        run_virtual(work())
