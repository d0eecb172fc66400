"""Restarts of background tasks: their pauses, their lines, and when a task keeps failing."""

import asyncio
import json
from typing import Any

from testtools import TestCase

from robinthread._internal.node.task_supervisor import FAILURES_MAX, TaskSupervisor
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.error_text import ERROR_TEXT_MAX, describe_error
from robinthread._internal.utils.restart_backoff import RECOVERED_AFTER_S, RESTART_PAUSE_MAX_S
from tests.lib.virtual import run_virtual


class TaskSupervisorTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[dict[str, Any]] = []
        self.starts_s: list[float] = []

    def make_supervisor(self) -> TaskSupervisor:
        return TaskSupervisor("n", EventLog("n", lambda line: self.lines.append(json.loads(line))))

    async def fail_at_once(self) -> None:
        self.starts_s.append(asyncio.get_running_loop().time())
        raise ValueError("x" * 10_000)

    def test_pauses_double_up_to_a_maximum(self) -> None:
        """Guards against a failing task that takes the processor, or is not tried again."""

        async def work() -> None:
            supervisor = self.make_supervisor()
            supervisor.start("odd", self.fail_at_once)
            await asyncio.sleep(40)
            supervisor.cancel()
            pauses = [b - a for a, b in zip(self.starts_s, self.starts_s[1:], strict=False)]
            for expected, pause in zip((0.1, 0.2, 0.4, 0.8, 1.6, 3.2), pauses, strict=False):
                self.assertAlmostEqual(expected, pause, 3)
            self.assertAlmostEqual(RESTART_PAUSE_MAX_S, pauses[-1], 3)
            self.assertEqual(len(self.starts_s), len(self.lines))
            self.assertEqual("task_supervisor", self.lines[0]["raised_at"].split(":")[0])
            self.assertLess(max(len(line["error"]) for line in self.lines), ERROR_TEXT_MAX + 10)

        run_virtual(work())

    def test_task_keeps_failing_until_it_has_held_for_long(self) -> None:
        """Guards against a node that counts as sound between two failures of a task."""

        async def work() -> None:
            supervisor = self.make_supervisor()
            holds_from = FAILURES_MAX + 2

            async def run() -> None:
                if len(self.starts_s) < holds_from:
                    await self.fail_at_once()
                await asyncio.Event().wait()

            supervisor.start("odd", run)
            await asyncio.sleep(0.6)
            self.assertEqual("", supervisor.find_failing())
            await asyncio.sleep(0.2)
            self.assertEqual("odd", supervisor.find_failing())
            await asyncio.sleep(RECOVERED_AFTER_S)
            self.assertEqual("odd", supervisor.find_failing())
            # The last failure is at 3.1 s, and the next run begins 3.2 s later.
            await asyncio.sleep(6)
            self.assertEqual("", supervisor.find_failing())
            supervisor.cancel()

        run_virtual(work())

    def test_cancelled_call_inside_a_task_does_not_end_it(self) -> None:
        """Guards against a task that ends without a line as something it waits for is cancelled."""

        async def work() -> None:
            supervisor = self.make_supervisor()
            waited: list[asyncio.Future[None]] = []

            async def run() -> None:
                waited.append(asyncio.get_running_loop().create_future())
                await waited[-1]

            supervisor.start("odd", run)
            await asyncio.sleep(1)
            waited[0].cancel()
            await asyncio.sleep(1)
            self.assertEqual(2, len(waited))
            self.assertEqual(["odd"], [line["task"] for line in self.lines])
            supervisor.cancel()
            await asyncio.sleep(1)
            self.assertTrue(waited[1].cancelled())
            self.assertEqual(2, len(waited))

        run_virtual(work())


class ErrorTextTest(TestCase):
    def test_error_without_a_text_is_described_by_its_type(self) -> None:
        """Guards against an error whose text raises in turn, such as a number of 5,000 digits."""
        self.assertEqual("ValueError", describe_error(ValueError(10**5000))["error"])
