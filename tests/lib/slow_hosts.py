"""Platforms whose hosts take a while to answer orders."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import JobHostStandin, TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from robinthread._internal.standins.run_ledger import LedgerRun
from tests.lib.evacuating import get_pool_owner
from tests.lib.job_platforms import POOL, hand_in, make_job, start_platform

# A host has room for 128 SMALL tasks.
LARGE_HOST = Resources(64_000, 128_000, 0)
SMALL = Resources(500, 100)


def plan_small(work_s: float) -> Callable[[TaskKey], TaskPlan]:
    """Return a plan of small tasks that each take ``work_s``."""
    return lambda task: TaskPlan(work_s, SMALL)


def make_wide(number: int, task_count: int, **options: Any) -> JobSpec:
    """Make a job of small tasks that may all run at once."""
    return make_job(number, StepSpec(task_count, cpu_millicores=500, memory_mb=100, **options))


async def start_with_slow_hosts(
    delays_s: Iterable[float],
    plan_task: Callable[[TaskKey], TaskPlan],
    capacity: Resources = LARGE_HOST,
    prepare: Callable[[PlatformStandin], None] = lambda platform: None,
    **options: Any,
) -> PlatformStandin:
    """Start a platform with a host for each of the given answer delays, all in one pool for good.

    There is no reserve, to which the steward would move idle hosts.
    """

    def add_hosts(platform: PlatformStandin) -> None:
        for number, _delay_s in enumerate(delays):
            platform.machines.add(POOL, f"r{number % 2}", capacity)
        prepare(platform)

    delays = list(delays_s)
    pools = (PoolPolicy(POOL),)
    platform = await start_platform(plan_task, hosts=0, prepare=add_hosts, pools=pools, **options)
    for host, delay_s in zip(list_hosts(platform), delays, strict=True):
        platform.hosts.answer_delays_s[host.record.id] = delay_s
    return platform


def list_hosts(platform: PlatformStandin) -> list[JobHostStandin]:
    """Return all hosts in the order in which they were added."""
    return list(platform.hosts.hosts.values())


def drain(platform: PlatformStandin, host: JobHostStandin, leaves_in_ms: int = 30_000) -> float:
    """Let a host's entry say that it drains; return the time."""
    platform.list_host(replace(host.record, is_draining=True, leaves_in_ms=leaves_in_ms))
    return asyncio.get_running_loop().time()


def list_starts_after(
    platform: PlatformStandin, host: JobHostStandin, since_s: float
) -> list[LedgerRun]:
    """Return the runs that began on a host after a time."""
    runs = platform.hosts.ledger.runs
    return [run for run in runs if run.host_id == host.record.id and run.began_at_s > since_s]


def get_jobs(platform: PlatformStandin) -> PoolJobs:
    """Return the jobs of the pool as its owner knows them."""
    return get_pool_owner(platform).jobs


def find_fullest_host(platform: PlatformStandin) -> JobHostStandin:
    """Return the host with the most runs, as the pool's owner knows them."""
    fullest = max(get_jobs(platform).hosts.values(), key=lambda host: len(host.runs))
    return next(host for host in list_hosts(platform) if host.record.incarnation_id == fullest.id)


async def hand_in_steadily(
    platform: PlatformStandin, specs: Iterable[JobSpec], period_s: float
) -> dict[str, float]:
    """Submit a job each period; return by job when it was accepted."""
    accepted_at_s = {}
    for spec in specs:
        await hand_in(platform, "node0", spec)
        accepted_at_s[spec.job_id] = asyncio.get_running_loop().time()
        await asyncio.sleep(period_s)
    return accepted_at_s


def get_longest_stillness_s(platform: PlatformStandin, job_id: str, accepted_at_s: float) -> float:
    """Return the longest time in which no task of a job ran, until its last one began."""
    runs = [run for run in platform.hosts.ledger.runs if run.task.job_id == job_id]
    busy_until_s, longest_s = accepted_at_s, 0.0
    for run in sorted(runs, key=lambda run: run.began_at_s):
        longest_s = max(longest_s, run.began_at_s - busy_until_s)
        busy_until_s = max(busy_until_s, run.ended_at_s or run.began_at_s)
    return longest_s
