"""Starts that wait in front of hosts that answer slowly, from placement to the call.

Guards against jobs that stand still in front of one slow host while others are free, and against
orders that wait for starts.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.queue_policy import AdvicePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.event_lines import find_lines
from tests.lib.job_platforms import (
    CANCEL_S,
    POOL,
    QUEUE,
    cancel,
    find_violations,
    hand_in,
    hand_in_all,
    wait_until,
    wait_until_done,
)
from tests.lib.slow_hosts import (
    get_jobs,
    get_longest_stillness_s,
    hand_in_steadily,
    list_hosts,
    list_starts_after,
    make_wide,
    plan_small,
    start_with_slow_hosts,
)
from tests.lib.virtual import run_virtual

# A third of the time for which a job may stand still.
STILL_GOAL_S = 1.0
# A job may have nothing running for less than this while there is room.
STILL_MAX_S = 3.0


def count_runs(platform: PlatformStandin) -> int:
    return len(platform.hosts.ledger.runs)


async def serve_steadily(delays_s: Sequence[float]) -> tuple[float, list[str]]:
    """Serve 24 jobs; return the longest time in which one had nothing running, and violations."""
    platform = await start_with_slow_hosts(delays_s, plan_small(1.0))
    specs = [make_wide(number, 12) for number in range(1, 25)]
    accepted_at_s = await hand_in_steadily(platform, specs, 0.05)
    await wait_until_done(platform, specs, 60)
    still_s = max(
        get_longest_stillness_s(platform, job_id, at_s) for job_id, at_s in accepted_at_s.items()
    )
    return still_s, find_violations(platform)


class SlowHostAmongFastOnesTest(TestCase):
    def _check_no_job_stands_still(self, delay_s: float) -> None:
        """Check that no job waits in front of the slow one of four hosts, whichever that is."""

        for slow in range(4):
            delays_s = [delay_s if number == slow else 0.0 for number in range(4)]
            still_s, violations = run_virtual(serve_steadily(delays_s))
            self.assertLess(still_s, STILL_GOAL_S)
            self.assertEqual([], violations)

    def test_no_job_stands_still_behind_a_host_that_answers_in_150_ms(self) -> None:
        self._check_no_job_stands_still(0.15)

    def test_no_job_stands_still_behind_a_host_that_answers_in_300_ms(self) -> None:
        self._check_no_job_stands_still(0.3)

    def test_no_job_stands_still_behind_a_host_that_answers_in_390_ms(self) -> None:
        self._check_no_job_stands_still(0.39)


class AllHostsSlowTest(TestCase):
    """Guards against hosts that stand idle behind the few starts that they answer at once."""

    def _check_no_job_stands_still(self, delay_s: float) -> None:
        still_s, violations = run_virtual(serve_steadily([delay_s] * 4))
        self.assertLess(still_s, STILL_MAX_S)
        self.assertEqual([], violations)

    def test_no_job_stands_still_while_all_hosts_answer_in_150_ms(self) -> None:
        self._check_no_job_stands_still(0.15)

    def test_no_job_stands_still_while_all_hosts_answer_in_300_ms(self) -> None:
        self._check_no_job_stands_still(0.3)

    def test_no_job_stands_still_while_all_hosts_answer_in_390_ms(self) -> None:
        self._check_no_job_stands_still(0.39)

    def test_no_job_stands_still_while_all_hosts_answer_after_the_usual_timeout(self) -> None:
        self._check_no_job_stands_still(0.45)

    def test_host_that_works_off_its_starts_in_turn_answers_each_in_time(self) -> None:
        """Guards against more starts at once than such a host answers within their timeout."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.1], plan_small(1.0))
            [host] = list_hosts(platform)
            platform.hosts.serial_hosts[host.record.id] = asyncio.Lock()
            specs = [make_wide(1, 60)]
            await hand_in_steadily(platform, specs, 0.0)
            await wait_until_done(platform, specs, 30)
            self.assertEqual([], find_lines(platform, "start_unanswered", pool=None))

        run_virtual(work())


class OrdersBesideQueuedStartsTest(TestCase):
    def test_stop_is_not_delayed_by_queued_starts(self) -> None:
        """Guards against stops that wait for the slots that starts hold."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.3], plan_small(60.0))
            running = make_wide(1, 3)
            await hand_in(platform, "node0", running)
            await wait_until(lambda: count_runs(platform) == 3)
            await asyncio.sleep(1)
            await hand_in(platform, "node0", make_wide(2, 100))
            await asyncio.sleep(0.5)
            await cancel(platform, "node0", running.job_id)
            await asyncio.sleep(1.2)
            ends = [run.end for run in platform.hosts.ledger.runs[:3]]
            self.assertEqual([RunEnd.STOPPED.value] * 3, ends)

        run_virtual(work())

    def test_cancel_ends_runs_whose_starts_wait_at_once(self) -> None:
        """Guards against starts of a cancelled job, and stops of runs that never began."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.3], plan_small(60.0))
            spec = make_wide(1, 100)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: count_runs(platform) >= 3)
            await cancel(platform, "node0", spec.job_id)
            cancelled_at_s = asyncio.get_running_loop().time()
            await asyncio.sleep(CANCEL_S)
            [host] = list_hosts(platform)
            self.assertEqual([], list_starts_after(platform, host, cancelled_at_s + 0.4))
            [known] = get_jobs(platform).hosts.values()
            self.assertEqual({}, known.runs)
            self.assertNotIn(None, [run.ended_at_s for run in platform.hosts.ledger.runs])

        run_virtual(work())

    def test_cancel_of_a_wide_job_on_a_slow_host_ends_its_runs_in_time(self) -> None:
        """Guards against stops of many runs that wait for one another."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.0], plan_small(60.0))
            spec = make_wide(1, 60)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: count_runs(platform) == 60)
            await asyncio.sleep(1)
            [host] = list_hosts(platform)
            platform.hosts.answer_delays_s[host.record.id] = 0.3
            await cancel(platform, "node0", spec.job_id)
            await asyncio.sleep(CANCEL_S)
            self.assertNotIn(None, [run.ended_at_s for run in platform.hosts.ledger.runs])

        run_virtual(work())

    def test_start_whose_ticket_expires_while_it_waits_is_not_sent(self) -> None:
        """Guards against starts that a host rejects, each after its turn."""

        async def work() -> None:
            platform = await start_with_slow_hosts([0.3], plan_small(1.0))
            platform.requires_tickets = True
            platform.advice.valid_s = 1.0
            queue = replace(QUEUE, advice=AdvicePolicy(10, 1, 3000))
            platform.configure(2, (queue,), (PoolPolicy(POOL),))
            await asyncio.sleep(0.5)
            spec = make_wide(1, 30)
            await hand_in(platform, "node0", spec)
            await wait_until_done(platform, [spec], 60)
            self.assertEqual([], find_lines(platform, "start_rejected", pool=None))

        run_virtual(work())


class GangOnSlowHostsTest(TestCase):
    def _check_gang(self, delay_s: float) -> None:
        """Check that a gang of many members starts at its first try, beside other tasks."""

        async def work() -> None:
            def plan_task(task: TaskKey) -> TaskPlan:
                is_gang = task.job_id == gang.job_id
                return TaskPlan(1.0, Resources(500, 100), gang_size=24 if is_gang else 0)

            gang = make_wide(9, 24, is_gang=True)
            others = [make_wide(number, 100) for number in range(1, 3)]
            platform = await start_with_slow_hosts([delay_s] * 4, plan_task)
            await hand_in_all(platform, "node0", others)
            await asyncio.sleep(3)
            await hand_in(platform, "node0", gang)
            await wait_until_done(platform, [gang, *others], 60)
            runs = [run for run in platform.hosts.ledger.runs if run.task.job_id == gang.job_id]
            self.assertEqual({1}, {run.number for run in runs})
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_gang_starts_on_hosts_that_answer_in_150_ms(self) -> None:
        self._check_gang(0.15)

    def test_gang_starts_on_hosts_that_answer_in_300_ms(self) -> None:
        self._check_gang(0.3)
