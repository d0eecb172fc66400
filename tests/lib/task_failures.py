"""Failures of a node's background tasks, and loads that show whether the node serves on."""

import asyncio
import itertools
import json
from dataclasses import replace
from typing import Any

from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    HOST_CAPACITY,
    POOL,
    get_status,
    hand_in,
    make_job,
    start_platform,
    wait_until,
)

# Each host has room for four tasks, and the load needs ten at a time: two and a half hosts.
TASK_ROOM = Resources(4000, 100)
TASK_S = 1.0
JOB_PERIOD_S = 0.4
# A host that drains gets no start later than this.
DRAIN_S = 2.0


class InjectedError(Exception):
    """An error that no code of a node expects."""


def plan_wide(task: TaskKey) -> TaskPlan:
    """Plan one second on a quarter of a host for each task."""
    return TaskPlan(TASK_S, TASK_ROOM)


def list_background_tasks(node: str) -> dict[str, asyncio.Task[Any]]:
    """Return the background tasks of a node by name."""
    tasks = {task.get_name(): task for task in asyncio.all_tasks()}
    return {
        name.removeprefix(f"{node}/"): task
        for name, task in tasks.items()
        if name.startswith(f"{node}/") and not task.done()
    }


async def fail_task(task: asyncio.Task[Any]) -> None:
    """Raise an error in a task at the place where it waits, as any call there might."""
    while True:
        waiter: Any = task
        while isinstance(waiter, asyncio.Task) and not waiter.done():
            waiter = waiter._fut_waiter  # type: ignore[attr-defined]
        if isinstance(waiter, asyncio.Future) and not waiter.done():
            waiter.set_exception(InjectedError("injected"))
            return
        await asyncio.sleep(0.001)


def is_paused(task: asyncio.Task[Any]) -> bool:
    """Tell whether a background task waits before its next run."""
    awaited = getattr(task.get_coro(), "cr_await", None)
    return getattr(awaited, "__name__", "") == "sleep"


async def fail_repeatedly(node: str, name: str) -> None:
    """Fail a background task again whenever its work waits, until cancelled."""
    while True:
        task = list_background_tasks(node).get(name)
        if task is not None and not is_paused(task):
            await fail_task(task)
        await asyncio.sleep(0.02)


async def start_loaded(nodes: int = 1) -> tuple[PlatformStandin, list[Any], asyncio.Task[None]]:
    """Start a platform with two hosts and a load on the last node's callers."""
    platform = await start_platform(plan_wide, nodes=nodes, hosts=2)
    jobs: list[Any] = []
    loading = asyncio.create_task(load_hosts(platform, f"node{nodes - 1}", jobs))
    await asyncio.sleep(1.0)
    return platform, jobs, loading


async def load_hosts(platform: PlatformStandin, node: str, jobs: list[JobSpec]) -> None:
    """Submit a job of four tasks each ``JOB_PERIOD_S`` to a node; add each job to ``jobs``."""
    step = StepSpec(4, cpu_millicores=TASK_ROOM.cpu_millicores, memory_mb=TASK_ROOM.memory_mb)
    for number in itertools.count(1):
        jobs.append(make_job(number, step))
        await hand_in(platform, node, jobs[-1])
        await asyncio.sleep(JOB_PERIOD_S)


def drain(platform: PlatformStandin, host: UpstreamHost) -> None:
    """Let a host's entry say that it drains."""
    platform.list_host(replace(host, is_draining=True, leaves_in_ms=20_000))


def list_pool_hosts(platform: PlatformStandin) -> list[UpstreamHost]:
    """Return the entries of the pool's hosts that are up."""
    return [
        host.record
        for host in platform.hosts.hosts.values()
        if host.is_up and host.record.pool == POOL
    ]


def list_starts(platform: PlatformStandin, host_id: str, after_s: float) -> list[float]:
    """Return when runs began on a host later than ``after_s``."""
    return [
        run.began_at_s
        for run in platform.hosts.ledger.runs
        if run.host_id.split("@")[0] == host_id and run.began_at_s > after_s
    ]


def read_lines(platform: PlatformStandin, event: str) -> list[dict[str, Any]]:
    """Return the log lines of an event, those that wait for their second included."""
    for node in platform.nodes.values():
        node.assembled.status_reporter._events.flush_gathered(is_last=True)
    return [line for line in map(json.loads, platform.events) if line["event"] == event]


async def find_faults_of_listing(platform: PlatformStandin, watch_s: float = 6.0) -> list[str]:
    """Drain a host, add another, and describe what shows that the host list is not followed."""
    loop = asyncio.get_running_loop()
    left, changed_at_s = list_pool_hosts(platform)[0], loop.time()
    known = {host.id for host in list_pool_hosts(platform)}
    drain(platform, left)
    platform.machines.add(POOL, "r1", HOST_CAPACITY)
    joined = next(host.id for host in list_pool_hosts(platform) if host.id not in known)
    await asyncio.sleep(watch_s)
    late = list_starts(platform, left.id, changed_at_s + DRAIN_S)
    faults = [f"{len(late)} starts on a draining host later than {DRAIN_S} s"] if late else []
    if not list_starts(platform, joined, changed_at_s):
        faults.append("no start on the new host")
    return faults


async def find_unfinished(
    platform: PlatformStandin, node: str, jobs: list[JobSpec], limit_s: float = 20
) -> list[str]:
    """Wait for jobs to end; describe those that did not succeed in time."""
    states: dict[str, JobStatus | None] = {}

    async def read_states() -> bool:
        for job in jobs:
            if states.get(job.job_id) is not JobStatus.SUCCEEDED:
                states[job.job_id] = await get_status(platform, node, job.job_id)
        return all(state is JobStatus.SUCCEEDED for state in states.values())

    until_s = asyncio.get_running_loop().time() + limit_s
    while not await read_states() and asyncio.get_running_loop().time() < until_s:
        await asyncio.sleep(0.2)
    unfinished = [name for name, state in states.items() if state is not JobStatus.SUCCEEDED]
    return [f"{len(unfinished)} of {len(jobs)} jobs unfinished"] if unfinished else []


async def wait_for_background(node: str, name: str, limit_s: float = 5.0) -> bool:
    """Wait until a node has a background task of that name; return whether it got one."""
    try:
        await wait_until(lambda: name in list_background_tasks(node), limit_s)
    except AssertionError:
        return False
    return True
