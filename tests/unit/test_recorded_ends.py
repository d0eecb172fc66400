"""The run ledger reports a run that starts after another run of its task was done.

It counts as a violation only if the earlier run's end was acknowledged within the host's lease.
"""

import asyncio

from testtools import TestCase

from robinthread._internal.models.resources import Resources
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.standins.gang_registry import GangRegistry
from robinthread._internal.standins.job_host_standin import JobHostStandin, TaskPlan
from robinthread._internal.standins.run_ledger import RunLedger
from tests.lib.virtual import run_virtual

TASK = TaskKey("1", 0, 0, 0)
HOST_CAPACITY = Resources(1000, 1000)
WORK_S = 0.5
LEASE_MS = 1000


class RecordedEndsTest(TestCase):
    def _count_violations(self, acknowledged_at_s: float) -> int:
        """Acknowledge a run's end at a time, run its task again; return the violation count."""

        async def work() -> int:
            ledger = RunLedger()
            record = UpstreamHost(
                "i-1", "m-1", "press", "m-1:80", "", "r0", HOST_CAPACITY, frozenset()
            )
            host = JobHostStandin(record, ledger, lambda task: TaskPlan(WORK_S), GangRegistry())
            host.start(StartOrder(TASK, 1, "", LEASE_MS, 1))
            await asyncio.sleep(acknowledged_at_s)
            host.poll(1, 1, 3 * LEASE_MS)
            host.start(StartOrder(TASK, 2, "", 3 * LEASE_MS, 1))
            await asyncio.sleep(WORK_S)
            return len(ledger.find_violations(0))

        return run_virtual(work())

    def test_run_after_an_acknowledged_end_is_a_violation(self) -> None:
        self.assertEqual(1, self._count_violations(0.9))

    def test_run_after_an_end_acknowledged_after_its_lease_lapsed_is_allowed(self) -> None:
        self.assertEqual(0, self._count_violations(1.1))
