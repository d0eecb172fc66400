"""Hosts that reject starts: they are asked again ever more rarely, and the others serve on."""

import asyncio
from collections import Counter
from typing import Any

from testtools import TestCase

from robinthread._internal.jobs.host_errors import (
    HostError,
    HostGoneError,
    RunTooOldError,
    StartRejectedError,
    StartTooLateError,
)
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.standins.job_host_standin import TaskPlan
from tests.lib.job_platforms import find_violations, get_status, hand_in, wait_until_done
from tests.lib.rejecting_hosts import get_waits_s, reject_starts
from tests.lib.slow_hosts import (
    SMALL,
    hand_in_steadily,
    list_hosts,
    list_starts_after,
    make_wide,
    plan_small,
    start_with_slow_hosts,
)
from tests.lib.virtual import run_virtual

# A job may wait for its first run no longer than this beside three sound hosts.
BEGIN_MAX_S = 3.0
# The pauses of a host in 30 s are 0.3, 0.6, 1.2, 2.4, 4.8 and then 5 s: ten calls begin after one.
# Each may be of all four tasks of two jobs, and the first come before any pause.
CALLS_MAX = 11 * 8
# In 15 s seven calls begin after a pause or before any, each of as many tasks as the host has room
# for.
BACKLOG_CALLS_MAX = 7 * 128
# The pauses of a task in 10 s are 0.3, 0.6, 1.2 and then 2 s.
STARTS_PER_TASK_MAX = 8


class OneHostRejectsTest(TestCase):
    def _check_others_serve(self, error: type[HostError]) -> None:
        """Check that jobs begin in time on three hosts, whichever fourth one rejects starts."""

        async def work(number: int) -> None:
            platform = await start_with_slow_hosts([0.0] * 4, plan_small(1.0))
            bad = list_hosts(platform)[number].record.id
            specs = [make_wide(number, 4) for number in range(1, 61)]
            with reject_starts(error, lambda host, _order: host.id == bad) as rejected:
                accepted_at_s = await hand_in_steadily(platform, specs, 0.25)
                await asyncio.sleep(15)
            self.assertLess(max(get_waits_s(platform, accepted_at_s)), BEGIN_MAX_S)
            self.assertLess(len(rejected), CALLS_MAX)
            await wait_until_done(platform, specs, 10)
            self.assertEqual([], find_violations(platform))

        for number in (0, 3):
            run_virtual(work(number))

    def test_host_that_rejects_starts_for_an_unknown_reason(self) -> None:
        """Guards against jobs that are sent to the same rejecting host again and again."""
        self._check_others_serve(StartRejectedError)

    def test_host_by_whose_clock_each_lease_has_ended(self) -> None:
        """Guards against the same after a step of the host's clock."""
        self._check_others_serve(StartTooLateError)

    def test_host_whose_address_another_one_has(self) -> None:
        """Guards against the same while another host answers at the address."""
        self._check_others_serve(HostGoneError)

    def test_host_that_calls_each_run_too_old(self) -> None:
        """Guards against the same with a host that wrongly says that each run has ended."""
        self._check_others_serve(RunTooOldError)

    def test_host_that_rejects_starts_while_the_others_are_full(self) -> None:
        """Guards against a backlog that is sent to the rejecting host again and again."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.0] * 4, plan_small(1.0))
            bad = list_hosts(platform)[0].record.id
            specs = [make_wide(number, 120) for number in range(1, 61)]
            with reject_starts(StartTooLateError, lambda host, _order: host.id == bad) as rejected:
                await hand_in_steadily(platform, specs, 0.25)
            self.assertLess(len(rejected), BACKLOG_CALLS_MAX)
            await wait_until_done(platform, specs, 30)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_host_that_rejects_for_a_second_is_used_again(self) -> None:
        """Guards against a host that stays without work after a short fault."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.0] * 2, plan_small(1.0))
            loop, bad = asyncio.get_running_loop(), list_hosts(platform)[0]
            until_s = loop.time() + 1.0
            specs = [make_wide(number, 60) for number in range(1, 21)]
            with reject_starts(
                StartTooLateError,
                lambda host, _order: host.id == bad.record.id and loop.time() < until_s,
            ):
                await hand_in_steadily(platform, specs, 0.25)
            starts = list_starts_after(platform, bad, until_s)
            self.assertLess(min(run.began_at_s for run in starts) - until_s, 2.0)
            await wait_until_done(platform, specs, 30)

        run_virtual(work())


class AllHostsRejectTest(TestCase):
    def test_job_that_all_hosts_reject_is_tried_rarely_and_not_failed(self) -> None:
        """Guards against thousands of starts of a malformed job, and against hosts lost to it."""
        self._check_odd_job(is_gang=False)

    def test_gang_that_all_hosts_reject_is_tried_rarely_and_not_failed(self) -> None:
        """Guards against the same with a job whose tasks run only together."""
        self._check_odd_job(is_gang=True)

    def _check_odd_job(self, is_gang: bool) -> None:
        odd = make_wide(999, 12, is_gang=is_gang)

        def plan_task(task: Any) -> TaskPlan:
            is_member = is_gang and task.job_id == odd.job_id
            return TaskPlan(1.0, SMALL, gang_size=12 if is_member else 0)

        async def work() -> None:
            platform = await start_with_slow_hosts([0.0] * 4, plan_task)
            others = [make_wide(number, 4) for number in range(1, 41)]
            with reject_starts(
                StartRejectedError, lambda _host, order: order.task.job_id == odd.job_id
            ) as rejected:
                await hand_in(platform, "node0", odd)
                accepted_at_s = await hand_in_steadily(platform, others, 0.25)
            starts = Counter(order.task for order in rejected)
            self.assertLessEqual(max(starts.values()), STARTS_PER_TASK_MAX)
            self.assertGreater(max(starts.values()), 3)
            self.assertLess(max(get_waits_s(platform, accepted_at_s)), 0.5)
            state = await get_status(platform, "node0", odd.job_id)
            self.assertIn(state, (JobStatus.QUEUED, JobStatus.RUNNING))
            await wait_until_done(platform, [odd, *others], 6)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_hosts_that_all_reject_for_a_second_are_used_again(self) -> None:
        """Guards against thousands of starts meanwhile, and against a pool that stays paused."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.0] * 2, plan_small(1.0))
            loop = asyncio.get_running_loop()
            until_s = loop.time() + 1.0
            specs = [make_wide(number, 40) for number in range(1, 5)]
            with reject_starts(
                StartTooLateError, lambda _host, _order: loop.time() < until_s
            ) as rejected:
                for spec in specs:
                    await hand_in(platform, "node0", spec)
                await asyncio.sleep(3.0)
            starts = Counter(order.task for order in rejected)
            self.assertLessEqual(max(starts.values()), 3)
            self.assertEqual(160, len({run.task for run in platform.hosts.ledger.runs}))
            await wait_until_done(platform, specs, 10)

        run_virtual(work())
