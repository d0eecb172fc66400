"""Hosts that answer slowly and begin to drain while starts are under way to them.

Guards against starts that are sent by what was true when they were placed.
"""

import asyncio
from unittest.mock import patch

from testtools import TestCase

from robinthread._internal.fleet.pool_report import FleetReportRequest
from robinthread._internal.jobs.host import Host
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.node_settings_standin import BOUNDS
from robinthread._internal.standins.platform_standin import HOSTS, PlatformStandin
from tests.lib.evacuating import get_pool_owner, record_sent_starts
from tests.lib.job_platforms import (
    POOL,
    find_violations,
    hand_in,
    hand_in_all,
    make_job,
    wait_for_status,
    wait_until,
    wait_until_done,
)
from tests.lib.slow_hosts import (
    drain,
    find_fullest_host,
    get_jobs,
    hand_in_steadily,
    list_hosts,
    list_starts_after,
    make_wide,
    plan_small,
    start_with_slow_hosts,
)
from tests.lib.virtual import run_virtual

DRAIN_S = BOUNDS.drain_ms / 1000
# The goal while the store answers: the list is read each 0.3 s, and an order takes up to 0.4 s.
DRAIN_GOAL_S = 1.0
LASTING = StepSpec(
    2,
    cpu_millicores=500,
    memory_mb=100,
    is_lasting=True,
    has_not_running_limit=True,
    not_running_max=0,
)
# Four jobs are too much for three hosts for some seconds.
JOBS = [make_wide(number, 80) for number in range(1, 5)]


def count_runs(platform: PlatformStandin) -> int:
    return len(platform.hosts.ledger.runs)


class DrainingSlowHostTest(TestCase):
    def _check_no_late_start(self, delay_s: float) -> None:
        """Check that a host gets no start later than the bound after it began to drain."""

        async def work() -> None:
            platform = await start_with_slow_hosts([delay_s] * 3, plan_small(3.0))
            await hand_in_all(platform, "node0", JOBS)
            await asyncio.sleep(0.6)
            leaving = find_fullest_host(platform)
            drained_at_s = drain(platform, leaving)
            await asyncio.sleep(20)
            late = list_starts_after(platform, leaving, drained_at_s + DRAIN_GOAL_S)
            self.assertEqual([], late)
            await wait_until_done(platform, JOBS, 60)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_host_that_answers_in_150_ms_gets_no_start_once_it_drains(self) -> None:
        self._check_no_late_start(0.15)

    def test_host_that_answers_in_300_ms_gets_no_start_once_it_drains(self) -> None:
        self._check_no_late_start(0.3)

    def test_host_that_answers_after_the_timeout_gets_no_start_once_it_drains(self) -> None:
        self._check_no_late_start(0.45)

    def test_queued_starts_are_given_back_at_once(self) -> None:
        """Guards against tasks that wait for a slot of a host that takes no more work."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.39], plan_small(3.0))
            spec = make_wide(1, 100)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: count_runs(platform) >= 3)
            drain(platform, list_hosts(platform)[0])
            await asyncio.sleep(0.35)
            [host] = get_jobs(platform).hosts.values()
            self.assertEqual([], [run for run in host.runs.values() if run.is_unsent])

        run_virtual(work())

    def test_starts_that_wait_for_a_host_that_is_vacated_are_given_back_at_once(self) -> None:
        """Guards against work that moves to a machine while the steward empties it."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.39, 0.39], plan_small(1.0))
            await hand_in(platform, "node0", make_wide(1, 200))
            await wait_until(lambda: count_runs(platform) >= 3)
            leaving = find_fullest_host(platform)
            get_pool_owner(platform).report(FleetReportRequest(POOL, (leaving.record.machine,)))
            [host] = [
                host
                for host in get_jobs(platform).hosts.values()
                if host.id == leaving.record.incarnation_id
            ]
            self.assertEqual([], [run for run in host.runs.values() if run.is_unsent])

        run_virtual(work())

    def test_start_is_not_sent_again_to_a_host_that_drains_meanwhile(self) -> None:
        """Guards against a retry that begins a task on a host that is known to leave."""
        sent = record_sent_starts(self)

        async def work() -> None:
            platform = await start_with_slow_hosts([0.0, 0.0], plan_small(1.0))
            platform.hosts.faults.lost_share = 1.0
            platform.hosts.faults.late_s = (0.5, 0.5)
            spec = make_wide(1, 1)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: len(sent) == 1)
            [run] = [
                run for host in get_jobs(platform).hosts.values() for run in host.runs.values()
            ]
            leaving = next(
                host for host in list_hosts(platform) if host.record.incarnation_id == run.host_id
            )
            drain(platform, leaving)
            await asyncio.sleep(0.35)
            platform.hosts.faults.lost_share = 0.0
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual([1], [start.run for start in sent if start.run == 1])
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_run_that_is_recorded_late_is_not_sent_to_a_host_that_drains(self) -> None:
        """The host begins to drain while the record of its runs is being written."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.0, 0.0], plan_small(1.0))
            platform.store.append_turns.append_duration_s = 1.0
            spec = make_wide(1, 100)
            await hand_in(platform, "node0", spec)
            hosts = get_jobs(platform).hosts
            await wait_until(lambda: any(host.runs for host in hosts.values()))
            placed_on = {host.record.id for host in hosts.values() if host.runs}
            leaving = next(host for host in list_hosts(platform) if host.record.id in placed_on)
            drained_at_s = drain(platform, leaving)
            await asyncio.sleep(3)
            platform.store.append_turns.append_duration_s = 0.0
            await wait_until_done(platform, [spec], 60)
            self.assertEqual([], list_starts_after(platform, leaving, drained_at_s + 0.35))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_unread_list_of_hosts_sends_no_start_to_a_host_that_drains_meanwhile(self) -> None:
        """Guards against an owner that reads all but the list of hosts, and goes on by it."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.0, 0.0], plan_small(0.5))
            platform.store.unreadable_topics.add(HOSTS.topic)
            leaving = list_hosts(platform)[-1]
            drained_at_s = drain(platform, leaving)
            specs = [make_wide(number, 100) for number in range(1, 30)]
            await hand_in_steadily(platform, specs, 0.3)
            late = list_starts_after(platform, leaving, drained_at_s + DRAIN_S)
            self.assertEqual([], late)
            platform.store.unreadable_topics.clear()
            await wait_until_done(platform, specs, 60)

        run_virtual(work())

    def test_starts_go_on_while_the_store_is_away_altogether(self) -> None:
        """Guards against work that stops with the store."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.3] * 2, plan_small(1.0))
            spec = make_wide(1, 40)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: count_runs(platform) >= 3)
            platform.store.faults.refused.add("*")
            unsent = [
                run
                for host in get_jobs(platform).hosts.values()
                for run in host.runs.values()
                if run.is_unsent
            ]
            await asyncio.sleep(4)
            self.assertNotEqual([], unsent)
            self.assertEqual([], [run for run in unsent if run.is_unsent])

        run_virtual(work())


class LostAnswerTest(TestCase):
    def test_lasting_task_whose_start_had_no_answer_goes_on_while_its_host_is_vacated(self) -> None:
        """Guards against a task at work that is stopped, though none of its step may be missing."""

        async def work() -> None:
            plan = TaskPlan(None, Resources(500, 100))
            platform = await start_with_slow_hosts([0.0, 0.0], lambda task: plan)
            platform.hosts.faults.lost_share = 1.0
            await hand_in(platform, "node0", make_job(1, LASTING))
            await wait_until(lambda: count_runs(platform) == 2)
            platform.hosts.faults.lost_share = 0.0
            with patch.object(Host, "is_vacating", return_value=True):
                await asyncio.sleep(3)
            self.assertEqual(["", ""], [run.end for run in platform.hosts.ledger.runs])
            self.assertEqual([], find_violations(platform))

        run_virtual(work())
