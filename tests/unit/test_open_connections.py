"""Silent connections of the stand-ins lose the same calls as real connections.

A call in progress is done without a response, the next call is lost, and later calls use a new
connection.
"""

import asyncio

from testtools import TestCase

from robinthread._internal.standins.call_faults import CallFaults, CallUnansweredError
from robinthread._internal.standins.open_connections import IDLE_MAX_S
from tests.lib.virtual import run_virtual

TIMEOUT_S = 1.0


async def is_answered(faults: CallFaults, done: list[str], caller: str = "node0") -> bool:
    """Make a call that appends to ``done``; return whether it had a response."""
    try:
        await faults.carry_out(caller, lambda: done.append(caller), TIMEOUT_S)
    except CallUnansweredError:
        return False
    return True


class OpenConnectionsTest(TestCase):
    def test_call_under_way_is_done_and_not_answered(self) -> None:
        async def work() -> None:
            faults, done = CallFaults(1, 0.1), list[str]()
            call = asyncio.create_task(is_answered(faults, done))
            await asyncio.sleep(0.05)
            faults.connections.silence()
            self.assertFalse(await call)
            self.assertEqual(["node0"], done)

        run_virtual(work())

    def test_next_call_is_lost_and_those_after_it_are_answered(self) -> None:
        async def work() -> None:
            faults, done = CallFaults(1, 0.1), list[str]()
            self.assertTrue(await is_answered(faults, done))
            faults.connections.silence()
            answered = [await is_answered(faults, done) for _ in range(3)]
            self.assertEqual([False, True, True], answered)
            # The lost call was never received.
            self.assertEqual(3, len(done))

        run_virtual(work())

    def test_callers_without_an_open_connection_lose_nothing(self) -> None:
        async def work() -> None:
            faults, done = CallFaults(1, 0.1), list[str]()
            self.assertTrue(await is_answered(faults, done))
            self.assertTrue(await is_answered(faults, done, "node1"))
            faults.connections.silence()
            faults.connections.close("node0")
            self.assertTrue(await is_answered(faults, done))
            await asyncio.sleep(IDLE_MAX_S)
            self.assertTrue(await is_answered(faults, done, "node1"))
            self.assertTrue(await is_answered(faults, done, "node2"))

        run_virtual(work())
