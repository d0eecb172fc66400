"""Stops of runs that are still in progress, also while the pool's owner changes."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.jobs.run import RunPhase
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    POOL,
    find_violations,
    get_owner,
    hand_in,
    make_job,
    make_stop_budget,
    wait_until,
)
from tests.lib.lasting import (
    LASTING_JOB,
    get_first_host,
    kill_owner,
    list_runs,
    start_lasting,
)
from tests.lib.virtual import run_virtual

ALONE = StepSpec(1, cpu_millicores=1000, memory_mb=100, is_lasting=True)
# These tasks share a host with the lasting task and end one after the other, every 0.05 s.
MANY = StepSpec(28, cpu_millicores=500, memory_mb=10)

PAIR = StepSpec(2, cpu_millicores=1000, memory_mb=100, is_gang=True, per_host_max=1)
BESIDE_PAIR = StepSpec(28, cpu_millicores=500, memory_mb=10, per_host_max=14)
# Longer than the longest stop together with the transmission of its response.
LATE_S = 0.9


def count_stopping(platform: PlatformStandin) -> int:
    """Count the runs that the pool's owner is stopping."""
    owner = get_owner(platform)
    if owner is None:
        return 0
    hosts = platform.nodes[owner].assembled.owned.owners[POOL].jobs.hosts.values()
    return sum(run.phase is RunPhase.STOPPING for host in hosts for run in host.runs.values())


def plan_many(task: TaskKey) -> TaskPlan:
    """Plan one lasting task, and many that end."""
    if task.job_id == LASTING_JOB:
        return TaskPlan(None, ALONE.resources)
    return TaskPlan(0.4 + 0.05 * task.index, MANY.resources)


def plan_beside_pair(task: TaskKey) -> TaskPlan:
    """Plan a lasting pair; on each host a task ends every 0.15 s once the owner is replaced."""
    if task.job_id == LASTING_JOB:
        return TaskPlan(None, PAIR.resources)
    return TaskPlan(2.0 + 0.15 * (task.index % 14), BESIDE_PAIR.resources)


class StopUnderWayTest(TestCase):
    def test_next_run_waits_for_a_stop_without_response(self) -> None:
        async def work() -> None:
            platform = await start_lasting(hosts=2, step=ALONE, plan_task=plan_many)
            host, run = get_first_host(platform), list_runs(platform)[0]
            await hand_in(platform, "node0", make_job(2, MANY))
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 1 + MANY.task_count)
            platform.hosts.faults.lost_share = 1.0
            platform.list_host(replace(host.record, is_draining=True, leaves_in_ms=5000))
            # The host reports the end of another task while this one is stopping.
            await wait_until(lambda: run.ended_at_s is not None)
            platform.hosts.faults.lost_share = 0.0
            await asyncio.sleep(3)
            withdrawn = [event for event in platform.events if b'"run_not_there"' in event]
            self.assertEqual([], [event for event in withdrawn if b'"stopping"' in event])
            self.assertEqual(2, len(list_runs(platform)))
            self.assertEqual([], find_violations(platform))

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
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_gang_restart_waits_for_a_member_on_an_uncontacted_host(self) -> None:
        """The next owner learns first that another member failed; the stop gets no response."""

        async def work() -> None:
            platform = await start_lasting(hosts=2, step=PAIR, plan_task=plan_beside_pair)
            await hand_in(platform, "node0", make_job(2, BESIDE_PAIR))
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 30)
            hosts = {host.record.id: host for host in platform.hosts.hosts.values()}
            failing, other = list_runs(platform)
            host, unreachable = hosts[failing.host_id], hosts[other.host_id]
            ways = {(name, unreachable.record.address) for name in platform.nodes}
            platform.hosts.cut_routes |= ways
            kill_owner(platform)
            host._end((failing.task, failing.number), RunEnd.FAILED)
            await wait_until(lambda: count_stopping(platform) == 1)
            # Orders are executed after the time at which a run counts as settled without a report.
            platform.hosts.faults.lost_share = 1.0
            platform.hosts.faults.late_s = (LATE_S, LATE_S)
            platform.hosts.cut_routes -= ways
            await wait_until(lambda: any(run.is_stopping for run in unreachable._present.values()))
            platform.hosts.faults.lost_share = 0.0
            await asyncio.sleep(3)
            self.assertEqual("stopped", other.end)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(4, len(list_runs(platform)))

        run_virtual(work())
