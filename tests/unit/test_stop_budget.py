"""A stop ends within its budget even if parts of it fail or do not end."""

import asyncio
import json

from testtools import TestCase

from robinthread._internal.node.stop_budget import BUDGET_SHARE, StopBudget
from robinthread._internal.telemetry.event_log import EventLog
from tests.lib.stubborn_process import refuse_to_end
from tests.lib.virtual import run_virtual

GRACE_S = 6.0
LAG_S = 0.25
PART_S = 2.0


async def fail() -> None:
    raise ValueError("odd")


class StopBudgetTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[bytes] = []

    def _make(self, grace_s: float = GRACE_S) -> StopBudget:
        return StopBudget(grace_s, LAG_S, EventLog("n", write=self.lines.append))

    def test_part_that_does_not_end_takes_at_most_the_budget(self) -> None:
        async def work() -> None:
            loop = asyncio.get_running_loop()
            budget, began_at_s = self._make(), loop.time()
            self.assertTrue(await budget.run("quick", asyncio.sleep(PART_S)))
            self.assertFalse(await budget.run("stubborn", refuse_to_end()))
            self.assertFalse(await budget.run("late", asyncio.sleep(PART_S)))
            took_s = loop.time() - began_at_s
            self.assertAlmostEqual(GRACE_S * BUDGET_SHARE - LAG_S, took_s, 2)
            self.assertEqual(["stubborn", "late"], budget.unfinished_parts)
            self.assertEqual(PART_S * 1000, budget.took_ms["quick"])

        run_virtual(work())

    def test_failed_part_is_logged_and_the_next_one_runs(self) -> None:
        async def work() -> None:
            budget = self._make()
            self.assertFalse(await budget.run("odd", fail()))
            self.assertTrue(await budget.run("next", asyncio.sleep(PART_S)))
            line = json.loads(self.lines[0])
            self.assertEqual(
                ("stop_part_undone", "odd", "ValueError: odd"),
                (line["event"], line["part"], line["reason"]),
            )

        run_virtual(work())

    def test_empty_budget_leaves_all_parts_unfinished(self) -> None:
        async def work() -> None:
            budget = self._make(grace_s=0.0)
            self.assertEqual(0.0, budget.left_s)
            self.assertFalse(await budget.run("part", asyncio.sleep(PART_S)))

        run_virtual(work())
