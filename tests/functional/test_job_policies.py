"""Policies of jobs whose queue is missing from the configuration, or whose owner has none yet."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import msgspec
from testtools import TestCase

from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_policy import make_job_policy
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import OPERATORS, PlatformStandin
from tests.lib.job_platforms import (
    POOLS,
    QUEUE,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
    wait_until,
)
from tests.lib.virtual import run_virtual

ONE_TASK = StepSpec(1, cpu_millicores=1000, memory_mb=100)
OTHER_QUEUE = QueuePolicy("other", "press.example", "/other/", QUEUE.pool)
WORK_S = 3.0
# Time in which all nodes apply a published configuration, and an owner acts on it.
APPLIED_S = 1.0

PlanTask = Callable[[TaskKey], TaskPlan]


def plan_failures(failure_count: int) -> PlanTask:
    """Plan tasks whose first runs fail, ``failure_count`` of each task."""
    starts: Counter[TaskKey] = Counter()

    def plan(task: TaskKey) -> TaskPlan:
        starts[task] += 1
        end = RunEnd.FAILED if starts[task] <= failure_count else RunEnd.DONE
        return TaskPlan(WORK_S, Resources(1000, 100), end)

    return plan


def make_accepted_job(number: int = 1) -> JobSpec:
    """Make a job with the policy that it was accepted under, as the callers' interface does."""
    spec = make_job(number, ONE_TASK)
    return msgspec.structs.replace(spec, policy=make_job_policy(QUEUE), config_version=1)


async def restart_all(platform: PlatformStandin) -> None:
    """Kill all nodes and start them again, without waiting for them."""
    names = list(platform.nodes)
    for name in names:
        platform.kill_node(name)
    await asyncio.sleep(0.5)
    for name in names:
        platform.start_node(name)


async def restart_all_with_blind_owner(platform: PlatformStandin) -> str:
    """Restart all nodes; the pool's owner can't read the operators' records any more.

    Another node, which can, gives the owner its pool back.  Returns the owner's name.
    """
    owner = get_owner(platform)
    assert owner is not None
    platform.store.unreadable_by.add((owner, OPERATORS.topic))
    await restart_all(platform)
    await wait_for_owner(platform)
    assert get_owner(platform) == owner
    assert platform.nodes[owner].assembled.config_holder.config is None
    return owner


async def wait_for_owner(platform: PlatformStandin) -> None:
    """Wait until a node has opened the pool."""
    await wait_until(lambda: get_owner(platform) is not None)


def count_runs(platform: PlatformStandin) -> int:
    """Count the runs that hosts have begun."""
    return len(platform.hosts.ledger.runs)


class JobPolicyTest(TestCase):
    def test_failure_after_route_left_and_came_back_does_not_fail_the_job(self) -> None:
        """An owner that opened while the route was gone gave its jobs a single attempt."""

        async def work() -> None:
            platform = await start_platform(plan_failures(2))
            job = make_accepted_job()
            await hand_in(platform, "node0", job)
            await wait_until(lambda: count_runs(platform) == 1)
            platform.configure(2, (OTHER_QUEUE,), POOLS)
            await asyncio.sleep(APPLIED_S)
            await restart_all(platform)
            await wait_for_owner(platform)
            platform.configure(3, (OTHER_QUEUE, QUEUE), POOLS)
            await wait_for_status(platform, job.job_id, JobStatus.SUCCEEDED)
            self.assertEqual(3, count_runs(platform))

        run_virtual(work())

    def test_job_keeps_its_attempts_while_its_route_is_gone(self) -> None:
        """An owner that opened while the route was gone gave its jobs a single attempt."""

        async def work() -> None:
            platform = await start_platform(plan_failures(3))
            job = make_accepted_job()
            await hand_in(platform, "node0", job)
            await wait_until(lambda: count_runs(platform) == 1)
            platform.configure(2, (OTHER_QUEUE,), POOLS)
            await asyncio.sleep(APPLIED_S)
            await restart_all(platform)
            await wait_for_status(platform, job.job_id, JobStatus.FAILED)
            self.assertEqual(QUEUE.attempts_max, count_runs(platform))

        run_virtual(work())

    def test_failure_before_the_configuration_is_read_does_not_fail_the_job(self) -> None:
        """An owner that opened before it had read the configuration gave a single attempt."""

        async def work() -> None:
            platform = await start_platform(plan_failures(2))
            job = make_accepted_job()
            await hand_in(platform, "node0", job)
            await wait_until(lambda: count_runs(platform) == 1)
            await restart_all_with_blind_owner(platform)
            await wait_for_status(platform, job.job_id, JobStatus.SUCCEEDED)
            self.assertEqual(3, count_runs(platform))

        run_virtual(work())

    def test_job_without_stored_policy_waits_for_the_configuration(self) -> None:
        """A job that an older version accepted was started and failed under default figures."""

        async def work() -> None:
            platform = await start_platform(plan_failures(2))
            owner = await restart_all_with_blind_owner(platform)
            job = msgspec.structs.replace(make_accepted_job(), policy=None)
            await hand_in(platform, next(name for name in platform.nodes if name != owner), job)
            await asyncio.sleep(2 * WORK_S)
            self.assertEqual(0, count_runs(platform))
            platform.store.unreadable_by.clear()
            await wait_for_status(platform, job.job_id, JobStatus.SUCCEEDED)
            self.assertEqual(3, count_runs(platform))

        run_virtual(work())

    def test_policy_that_an_owner_knew_is_kept_for_a_job_of_an_older_version(self) -> None:
        """The next owner, which could not read the configuration, did not know it."""

        async def work() -> None:
            platform = await start_platform(plan_failures(2))
            job = msgspec.structs.replace(make_accepted_job(), policy=None)
            await hand_in(platform, "node0", job)
            await wait_until(lambda: count_runs(platform) == 1)
            await restart_all_with_blind_owner(platform)
            await wait_for_status(platform, job.job_id, JobStatus.SUCCEEDED)
            self.assertEqual(3, count_runs(platform))

        run_virtual(work())

    def test_job_without_stored_policy_and_route_is_started_but_not_failed(self) -> None:
        """A job that an older version accepted failed when its route was gone."""

        async def work() -> None:
            platform = await start_platform(plan_failures(1))
            job = msgspec.structs.replace(make_accepted_job(), policy=None)
            platform.configure(2, (OTHER_QUEUE,), POOLS)
            await asyncio.sleep(APPLIED_S)
            await hand_in(platform, "node0", job)
            await wait_until(lambda: count_runs(platform) == 1)
            await asyncio.sleep(2 * WORK_S)
            self.assertEqual(1, count_runs(platform))
            platform.configure(3, (OTHER_QUEUE, QUEUE), POOLS)
            await wait_for_status(platform, job.job_id, JobStatus.SUCCEEDED)

        run_virtual(work())

    def test_lowered_attempts_reach_jobs_taken_before(self) -> None:
        """An owner kept the figures that it first read for as long as it lived."""

        async def work() -> None:
            platform = await start_platform(plan_failures(2))
            job = make_accepted_job()
            await hand_in(platform, "node0", job)
            await wait_until(lambda: count_runs(platform) == 2)
            platform.configure(2, (replace(QUEUE, attempts_max=2),), POOLS)
            await wait_for_status(platform, job.job_id, JobStatus.FAILED)
            self.assertEqual(2, count_runs(platform))

        run_virtual(work())

    def test_owner_with_an_older_configuration_uses_the_policy_of_the_acceptance(self) -> None:
        """An owner behind the accepting node gave the job the figures of an older version."""

        async def work() -> None:
            platform = await start_platform(plan_failures(2), queue=replace(QUEUE, attempts_max=1))
            job = msgspec.structs.replace(make_accepted_job(), config_version=2)
            await hand_in(platform, "node0", job)
            await wait_for_status(platform, job.job_id, JobStatus.SUCCEEDED)

        run_virtual(work())

    def test_policy_changed_after_the_acceptance_outlasts_its_route_and_owner(self) -> None:
        """The next owner fell back to the figures of the acceptance once the route was gone."""

        async def work() -> None:
            platform = await start_platform(plan_failures(3))
            job = make_accepted_job()
            await hand_in(platform, "node0", job)
            await wait_until(lambda: count_runs(platform) == 1)
            platform.configure(2, (replace(QUEUE, attempts_max=2),), POOLS)
            await asyncio.sleep(APPLIED_S)
            platform.configure(3, (OTHER_QUEUE,), POOLS)
            await asyncio.sleep(APPLIED_S)
            await restart_all(platform)
            await wait_for_status(platform, job.job_id, JobStatus.FAILED)
            self.assertEqual(2, count_runs(platform))

        run_virtual(work())
