"""Three pools whose jobs belong to workspaces with limits, and samples of their usage."""

import asyncio
import itertools
import math
from collections.abc import Iterator
from dataclasses import dataclass, replace

from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.workspace_policy import WorkspacePolicy, digest_keys
from robinthread._internal.node.job_request_outcome import JobRequestOutcome
from robinthread._internal.settings.policy_settings import PolicySettings, WorkspacePolicies
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import RESERVE, PlatformStandin
from tests.lib.job_platforms import HOST_CAPACITY, get_owner, hand_in, wait_until

POOLS = ("press", "cards", "proofs")
HOSTS_A_POOL = 6
TASK_RESOURCES = Resources(2000, 100)
TASKS = 4
WORK_S = 1.0
# Two hosts of the eighteen, as many as a pool keeps while it is idle.
LIMIT = Resources(32_000, 0)
MAPS, SHOP = "maps", "shop"
LASTING_FROM = 10_000
SAMPLE_S = 0.1


def plan_task(task: TaskKey) -> TaskPlan:
    """Plan tasks of 1 s, and lasting tasks for the jobs from ``LASTING_FROM`` on."""
    is_lasting = int(task.job_id, 16) >= LASTING_FROM
    return TaskPlan(None if is_lasting else WORK_S, TASK_RESOURCES)


def make_workspace(name: str, limit: Resources, share: float = 0.0) -> WorkspacePolicy:
    """Make a workspace with its own key."""
    return WorkspacePolicy(name, digest_keys([f"key of {name}"]), share, limit)


def configure(
    platform: PlatformStandin, version: int, limit: Resources, *others: WorkspacePolicy
) -> None:
    """Publish a configuration in which workspace MAPS has a limit and SHOP has none."""
    queues = tuple(
        QueuePolicy(f"{pool}-q", f"{pool}.example", "/", pool, 0, 3, 1.6, 600) for pool in POOLS
    )
    pools = (*map(PoolPolicy, POOLS), PoolPolicy(RESERVE, is_reserve=True))
    workspaces = (make_workspace(MAPS, limit), make_workspace(SHOP, Resources()), *others)
    platform.configure(version, queues, pools, workspaces)


async def start_limited(
    nodes: int = 5, seed: int = 1, kept_share: float = 0.2, limit: Resources = LIMIT
) -> PlatformStandin:
    """Start three pools with owners on different nodes, and wait until the pools are open."""
    platform = PlatformStandin(plan_task, seed)
    configure(platform, 1, limit)
    for number in range(HOSTS_A_POOL * len(POOLS)):
        platform.machines.add(POOLS[number % len(POOLS)], f"r{number % 4}", HOST_CAPACITY)
    policy = replace(PolicySettings(), workspaces=WorkspacePolicies(kept_share))
    for number in range(nodes):
        platform.start_node(f"node{number}", policy=policy)
    await wait_until(lambda: all(get_owner(platform, pool) for pool in POOLS))
    await asyncio.sleep(1)
    return platform


def get_steward(platform: PlatformStandin) -> str | None:
    """Return the node of the steward, or None if there is none."""
    return next(
        (
            name
            for name, node in platform.nodes.items()
            if (steward := node.assembled.node._steward) is not None and not steward.fenced.is_set()
        ),
        None,
    )


class Feeder:
    """Submits jobs of workspaces and records which ones were accepted."""

    def __init__(self, platform: PlatformStandin) -> None:
        self._platform = platform
        self._numbers = itertools.count(1)
        self._lasting = itertools.count(LASTING_FROM)
        self.accepted: list[JobSpec] = []
        self.handed_in_at_s: dict[str, float] = {}

    async def hand_in(self, workspace: str, pool: str, is_lasting: bool = False) -> JobSpec | None:
        """Submit one job; return None if no node accepts it."""
        number = next(self._lasting if is_lasting else self._numbers)
        step = StepSpec(
            TASKS, TASK_RESOURCES.cpu_millicores, TASK_RESOURCES.memory_mb, is_lasting=is_lasting
        )
        job_id = f"{number:016x}"
        now_s = asyncio.get_running_loop().time()
        at_ms = round(now_s * 1000)
        spec = JobSpec(
            job_id, f"{pool}-q", pool, "", (step,), accepted_at_ms=at_ms, workspace=workspace
        )
        self._platform.hosts.ledger.limits.workspaces[job_id] = workspace
        self.handed_in_at_s[job_id] = now_s
        names = sorted(self._platform.nodes)
        if not names:
            return None
        try:
            async with asyncio.timeout(4):
                outcome = await hand_in(self._platform, names[number % len(names)], spec)
        except TimeoutError:
            # A node that was killed does not respond; the job may have been accepted all the same.
            return None
        if outcome is not JobRequestOutcome.DONE:
            return None
        self.accepted.append(spec)
        return spec

    async def feed(self, workspace: str, pool: str, jobs_per_s: float, for_s: float) -> None:
        """Submit jobs at a rate, without waiting for the responses."""
        calls: list[asyncio.Task[JobSpec | None]] = []
        for _ in range(round(jobs_per_s * for_s)):
            calls.append(asyncio.create_task(self.hand_in(workspace, pool)))
            await asyncio.sleep(1 / jobs_per_s)
        await asyncio.gather(*calls)

    def list_done_s(self, from_s: float = 0.0) -> dict[str, list[float]]:
        """Return the durations of jobs submitted since ``from_s``, by workspace; inf if open."""
        runs = self._platform.hosts.ledger.runs
        done = {run.task: run.ended_at_s for run in runs if run.end == "done"}
        took_s: dict[str, list[float]] = {}
        for spec in self.accepted:
            keys = (TaskKey(spec.job_id, 0, 0, index) for index in range(TASKS))
            ends_s = [done.get(key) or math.inf for key in keys]
            since_s = self.handed_in_at_s[spec.job_id]
            if since_s >= from_s:
                took_s.setdefault(spec.workspace, []).append(max(ends_s) - since_s)
        return took_s


@dataclass
class UseSample:
    """The usage of a workspace at a time, as a fraction of its limit, in total and by pool."""

    at_s: float
    part: float
    by_pool: dict[str, float]


def sample_use(platform: PlatformStandin, workspace: str, limit: Resources) -> UseSample:
    """Sample the resources that the hosts' runs of a workspace use."""
    ledger = platform.hosts.ledger
    by_pool = dict.fromkeys(POOLS, 0.0)
    pools = {host.record.id: host.record.pool for host in platform.hosts.hosts.values()}
    for run in ledger.runs:
        if run.ended_at_s is None and ledger.limits.workspaces.get(run.task.job_id) == workspace:
            by_pool[pools[run.host_id]] += run.resources.get_utilization(limit)
    at_s = asyncio.get_running_loop().time()
    return UseSample(at_s, ledger.limits.get_running(workspace).get_utilization(limit), by_pool)


async def keep_sampling(
    platform: PlatformStandin, workspace: str, limit: Resources, samples: list[UseSample]
) -> None:
    """Sample until cancelled."""
    while True:
        samples.append(sample_use(platform, workspace, limit))
        await asyncio.sleep(SAMPLE_S)


def iter_starved(platform: PlatformStandin, limit: Resources) -> Iterator[str]:
    """Iterate over the workspace's jobs that have no runs although all their tasks could run.

    That is, the workspace uses less than half of its limit, and an open pool has twice the
    capacity that a job needs.
    """
    if sample_use(platform, MAPS, limit).part >= 0.5:
        return
    for pool in POOLS:
        name = get_owner(platform, pool)
        if name is None:
            continue
        jobs = platform.nodes[name].assembled.owned.owners[pool].jobs
        free = sum((host.free for host in jobs.hosts.values()), start=Resources())
        if not TASK_RESOURCES.scale(2 * TASKS).fits_in(free):
            continue
        for job in jobs.jobs.values():
            waits = any(task.key in jobs.waiting for task in job.tasks.values())
            if job.spec.workspace == MAPS and waits and not any(job.iter_running()):
                yield job.id
