"""A large platform whose nodes all lose power at once and restart."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.job_service import JobRequestOutcome
from robinthread._internal.standins.job_host_standin import JobHostStandin, TaskPlan
from robinthread._internal.standins.platform_standin import RESERVE, PlatformStandin
from robinthread._internal.standins.run_ledger import LedgerRun
from tests.lib.drawn_days import Span
from tests.lib.job_platforms import HOST_CAPACITY, get_owner, make_job, wait_until

# One node in three is large, with a link of 200 Mbit/s; the others have half a core and
# 10 Mbit/s, as in the deployments that had this outage.
LARGE_MILLICORES, SMALL_MILLICORES = 2150, 516
LARGE_BYTES_PER_S, SMALL_BYTES_PER_S = 25e6, 1.25e6
TASK_S = 0.8
QUICK = StepSpec(4, cpu_millicores=2000, memory_mb=100)
# A job is in time within STRETCH times its work plus SLACK_S.
STRETCH, SLACK_S = 1.6, 0.6
# Jobs with lower numbers have lasting tasks.
FIRST_QUICK = 1000


@dataclass(frozen=True)
class Size:
    """The size of a platform and its workload."""

    nodes: int = 30
    pools: int = 4
    hosts_a_pool: int = 26
    lasting_a_pool: int = 20
    reserve: int = 8
    jobs_per_s: float = 10.0
    heartbeat_s: float = 1.5
    # Pools settle and lasting tasks run for this time before power is lost.
    settle_s: float = 8.0
    away_s: float = 1.0
    # Each node starts at a random time within this span after the machines are back.
    starts_within_s: float = 1.0


@dataclass
class SubmittedJob:
    """A submitted job and its outcome for the caller."""

    spec: JobSpec
    at_s: float
    accepted_at_s: float | None = None
    is_served: bool = False


@dataclass
class Site:
    """A platform during a loss of power; ``troubled`` holds the time spans with faults."""

    platform: PlatformStandin
    size: Size
    random: random.Random
    names: tuple[str, ...] = ()
    previous_owners: dict[str, str] = field(default_factory=dict)
    back_at_s: float = 0.0
    submitted: list[SubmittedJob] = field(default_factory=list)
    troubled: list[Span] = field(default_factory=list)
    absent: set[str] = field(default_factory=set)

    @property
    def pools(self) -> list[str]:
        """List the pools that run jobs."""
        return [f"pool{number}" for number in range(self.size.pools)]

    def list_lasting(self) -> list[LedgerRun]:
        """List the runs of lasting tasks."""
        return [run for run in self.platform.hosts.ledger.runs if is_lasting(run.task)]

    def pick_hosts(self, share: float) -> list[JobHostStandin]:
        """Pick a random share of the hosts that are up and run a lasting task."""
        going = {run.host_id for run in self.list_lasting() if run.ended_at_s is None}
        hosts = [host for host in self.platform.hosts.hosts.values() if host.record.id in going]
        return self.random.sample(hosts, int(share * len(hosts)))


# Injects a fault in addition to the loss of power; started when the first jobs come.
Trouble = Callable[[Site], Coroutine[None, None, None]]


def is_lasting(task: TaskKey) -> bool:
    """Return whether a task is a lasting one."""
    return int(task.job_id, 16) < FIRST_QUICK


def plan_task(task: TaskKey) -> TaskPlan:
    """Plan lasting tasks for the first jobs, and ``TASK_S`` of work for all others."""
    return TaskPlan(None if is_lasting(task) else TASK_S, Resources(2000, 100))


async def start_site(size: Size, seed: int = 1) -> Site:
    """Start a platform of a given size and wait until its lasting tasks run."""
    platform = PlatformStandin(plan_task, seed)
    site = Site(platform, size, random.Random(seed))
    queues = tuple(
        QueuePolicy(
            f"queue-{pool}", f"{pool}.example", "/", pool, 0, 3, STRETCH, int(SLACK_S * 1e3)
        )
        for pool in site.pools
    )
    policies = [PoolPolicy(pool) for pool in site.pools]
    platform.configure(1, queues, (*policies, PoolPolicy(RESERVE, is_reserve=True)))
    for pool, number in itertools.product(site.pools, range(size.hosts_a_pool)):
        platform.machines.add(pool, f"r{number % 4}", HOST_CAPACITY)
    for number in range(size.reserve):
        platform.machines.add(RESERVE, f"r{number % 4}", HOST_CAPACITY)
    site.names = tuple(f"node{number}" for number in range(size.nodes))
    for name in site.names:
        start_node(site, name)
    await wait_until(lambda: all(get_owner(platform, pool) for pool in site.pools))
    for number in range(size.pools):
        await _hand_lasting_in(site, number)
    count = size.pools * size.lasting_a_pool
    await wait_until(lambda: len(site.list_lasting()) >= count)
    return site


async def _hand_lasting_in(site: Site, number: int) -> None:
    step = StepSpec(
        site.size.lasting_a_pool,
        cpu_millicores=2000,
        memory_mb=100,
        is_lasting=True,
        per_host_max=1,
    )
    pool = site.pools[number]
    spec = make_job(number, step, queue=f"queue-{pool}", pool=pool)
    job_service = site.platform.nodes[site.names[number]].assembled.job_service
    outcome = await job_service.accept(spec, asyncio.get_running_loop().time() + 3)
    assert outcome is JobRequestOutcome.DONE


def start_node(site: Site, name: str) -> None:
    """Start a node; its position in ``site.names`` decides whether it is large."""
    is_large = site.names.index(name) % 3 == 0
    link = LARGE_BYTES_PER_S if is_large else SMALL_BYTES_PER_S
    site.platform.store.link_bytes_per_s[name] = link
    site.platform.start_node(name, LARGE_MILLICORES if is_large else SMALL_MILLICORES)


async def lose_power(site: Site) -> None:
    """Kill all nodes at once, and restart those that are not in ``site.absent``."""
    platform, loop = site.platform, asyncio.get_running_loop()
    site.previous_owners = {
        pool: owner for pool in site.pools if (owner := get_owner(platform, pool)) is not None
    }
    lost_at_s = loop.time()
    for name in list(platform.nodes):
        platform.kill_node(name)
    site.back_at_s = lost_at_s + site.size.away_s
    await asyncio.sleep(site.size.away_s)
    site.troubled.append((lost_at_s, loop.time()))
    for name in site.names:
        if name not in site.absent:
            later_s = site.random.uniform(0, site.size.starts_within_s)
            loop.call_later(later_s, start_node, site, name)
