"""A pool changes hands while a stop of its last owner is under way."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_hosts_standin import TaskPlan
from tests.lib.job_platforms import (
    find_breaks,
    get_owner,
    hand_in,
    make_job,
    make_stop_budget,
    wait_until,
)
from tests.lib.lasting import LASTING_JOB, get_first_host, list_runs, start_lasting
from tests.lib.virtual import run_virtual

ALONE = StepSpec(1, cpu_millicores=1000, memory_mb=100, is_lasting=True)
# They take room on the same host, and end one after the other, each 0.05 s.
MANY = StepSpec(28, cpu_millicores=500, memory_mb=10)


def plan_many(task: TaskKey) -> TaskPlan:
    """Have one task last, and many end."""
    if task.job_id == LASTING_JOB:
        return TaskPlan(None, ALONE.room)
    return TaskPlan(0.4 + 0.05 * task.index, MANY.room)


class StopUnderWayTest(TestCase):
    def test_task_whose_stop_is_not_answered_is_waited_for(self) -> None:
        async def work() -> None:
            platform = await start_lasting(hosts=2, step=ALONE, plan_task=plan_many)
            host, run = get_first_host(platform), list_runs(platform)[0]
            await hand_in(platform, "node0", make_job(2, MANY))
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 1 + MANY.task_count)
            platform.hosts.faults.lost_share = 1.0
            platform.list_host(replace(host.record, is_draining=True, leaves_in_ms=5000))
            # The host reports an end of another task while this one stops.
            await wait_until(lambda: run.ended_at_s is not None)
            platform.hosts.faults.lost_share = 0.0
            await asyncio.sleep(3)
            taken_back = [event for event in platform.events if b'"run_not_there"' in event]
            self.assertEqual([], [event for event in taken_back if b'"stopping"' in event])
            self.assertEqual(2, len(list_runs(platform)))
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())

    def test_task_does_not_run_again_before_its_stop_is_over(self) -> None:
        async def work() -> None:
            platform = await start_lasting()
            host, run = get_first_host(platform), list_runs(platform)[0]
            platform.list_host(replace(host.record, is_draining=True, leaves_in_ms=5000))
            await wait_until(lambda: any(run.is_stopping for run in host._present.values()))
            owner = get_owner(platform)
            assert owner is not None
            await platform.nodes[owner].assembled.node.stop(make_stop_budget(platform))
            await wait_until(lambda: get_owner(platform) not in (None, owner))
            self.assertIsNone(run.ended_at_s)
            await asyncio.sleep(3)
            self.assertEqual("stopped", run.end)
            self.assertEqual([], find_breaks(platform))

        run_virtual(work())
