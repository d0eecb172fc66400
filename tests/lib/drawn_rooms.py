"""Random days of hosts that do not check their capacity, while it shrinks and grows.

Each day is drawn from its seed alone: the capacity of each host over time, jobs of all kinds that
need more than the hosts have, and failures of nodes, store, hosts and orders.
"""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import HOSTS, PlatformStandin
from tests.lib.crashing import feed, wait_until_ended
from tests.lib.day_troubles import Trouble, TroubleKind, bring_about
from tests.lib.drawn_findings import DrawnFindings, Span
from tests.lib.job_platforms import HOST_CAPACITY, POOLS, find_violations, make_job, start_platform
from tests.lib.virtual import run_virtual

JOBS = 70
JOB_PERIOD_S = 0.25
# Capacities change and failures occur as long as jobs arrive.
LENGTH_S = JOBS * JOB_PERIOD_S
ENDED_WITHIN_S = 400.0
CPU_MILLICORES = (2000, 4000, 9000, 16_000)
CHANGE_PERIODS_S = (0.5, 2.0, 6.0)
WORK_S = (0.4, 1.0, 3.0)
HEARTBEATS_S = (0.0, 1.5)
NEVER_S = (10_000.0, 10_000.0)
KINDS = (
    TroubleKind.KILL_OWNER,
    TroubleKind.STOP_OWNER,
    TroubleKind.KILL_ALL,
    TroubleKind.CUT_NODE,
    TroubleKind.CUT_PEERS,
    TroubleKind.CUT_HOST,
    TroubleKind.CRASH_HOST,
    TroubleKind.DRAIN_HOST,
    TroubleKind.LOSE_ORDERS,
    TroubleKind.STORE_SILENT,
    TroubleKind.STORE_REFUSES,
    TroubleKind.STORE_SLOW,
    TroubleKind.LOSE_APPENDS,
    TroubleKind.UNLIST_OWNER,
)
SHAPES = (
    (StepSpec(16, cpu_millicores=1000, memory_mb=100),),
    (StepSpec(8, cpu_millicores=1000, memory_mb=100),),
    (StepSpec(2, cpu_millicores=4000, memory_mb=100),),
    (StepSpec(4, cpu_millicores=2000, memory_mb=100, allows_copies=True),),
    (StepSpec(3, cpu_millicores=2000, memory_mb=100, is_gang=True),),
    (StepSpec(3, cpu_millicores=1000, memory_mb=100, fills_leftover=True),),
)


@dataclass(frozen=True)
class CapacityChange:
    """A host changes its capacity at ``at_s``; ``target`` selects it, modulo the running hosts."""

    at_s: float
    target: int
    capacity: Resources


@dataclass(frozen=True)
class CapacityDay:
    """A day: its hosts, its jobs, the changes of capacity, and the failures.

    ``unread`` are the spans in which the hosts' entries cannot be read while the rest of the store
    works; ``undone`` those in which orders to hosts are neither carried out nor answered.
    """

    seed: int
    hosts: int
    heartbeat_s: float
    work_s: float
    specs: tuple[JobSpec, ...]
    changes: tuple[CapacityChange, ...]
    troubles: tuple[Trouble, ...]
    unread: tuple[Span, ...]
    undone: tuple[Span, ...]


def draw_capacity_day(seed: int) -> CapacityDay:
    """Draw a day from its seed alone."""
    drawn = random.Random(seed)
    specs = tuple(make_job(number + 10, *drawn.choice(SHAPES)) for number in range(JOBS))
    return CapacityDay(
        seed,
        drawn.choice((1, 3, 6)),
        drawn.choice(HEARTBEATS_S),
        drawn.choice(WORK_S),
        specs,
        tuple(_draw_changes(drawn)),
        tuple(_draw_troubles(drawn)),
        tuple(_draw_spans(drawn)),
        tuple(_draw_spans(drawn)),
    )


def find_on_capacity_day(seed: int) -> DrawnFindings:
    """Simulate the day of a seed on virtual time; a simulation that stops is a finding as well."""
    try:
        return run_virtual(play_capacity_day(draw_capacity_day(seed)))
    except AssertionError as error:
        return DrawnFindings(seed, (), (str(error),))


async def play_capacity_day(day: CapacityDay) -> DrawnFindings:
    """Simulate a day and return its findings."""

    def plan(task: TaskKey) -> TaskPlan:
        step = next(spec for spec in day.specs if spec.job_id == task.job_id).steps[task.step]
        gang_size = step.task_count if step.is_gang else 0
        return TaskPlan(day.work_s, step.resources, gang_size=gang_size)

    pools = tuple(_disable_capacity_check(pool) for pool in POOLS)
    platform = await start_platform(plan, hosts=day.hosts, seed=day.seed, pools=pools)
    platform.hosts_check_room = False
    beating = asyncio.create_task(_keep_heartbeats(platform, day.heartbeat_s))
    feeding = asyncio.create_task(feed(platform, day.specs, JOB_PERIOD_S))
    changing = asyncio.create_task(_change_capacities(platform, day.changes))
    await asyncio.gather(
        *(_play_trouble(platform, each) for each in day.troubles),
        *(_hide_entries(platform, span) for span in day.unread),
        *(_lose_orders(platform, span) for span in day.undone),
    )
    await feeding
    await changing
    for host in list(platform.hosts.hosts.values()):
        platform.resize_host(host.record.id, HOST_CAPACITY)
    statuses = await wait_until_ended(platform, day.specs, ENDED_WITHIN_S)
    beating.cancel()
    undone = [
        f"{job_id} {status}"
        for job_id, status in statuses.items()
        if status is None or not status.is_final
    ]
    return DrawnFindings(day.seed, tuple(_find_breaks(platform, day)), tuple(undone))


def _draw_changes(drawn: random.Random) -> Iterator[CapacityChange]:
    period_s, at_s = drawn.choice(CHANGE_PERIODS_S), 0.0
    while at_s < LENGTH_S:
        capacity = Resources(drawn.choice(CPU_MILLICORES), HOST_CAPACITY.memory_mb)
        yield CapacityChange(at_s, drawn.randrange(1000), capacity)
        at_s += drawn.uniform(0, period_s)


def _draw_troubles(drawn: random.Random) -> Iterator[Trouble]:
    for _ in range(drawn.choice((0, 2, 4, 8))):
        at_s, length_s = drawn.uniform(0.0, LENGTH_S), drawn.uniform(1.0, 6.0)
        yield Trouble(at_s, drawn.choice(KINDS), drawn.randrange(1000), length_s)


def _draw_spans(drawn: random.Random) -> Iterator[Span]:
    for _ in range(drawn.choice((0, 1, 2))):
        at_s = drawn.uniform(0.0, LENGTH_S)
        yield at_s, at_s + drawn.uniform(1.0, 10.0)


def _disable_capacity_check(pool: PoolPolicy) -> PoolPolicy:
    return replace(pool, hosts_check_room=False)


def _find_breaks(platform: PlatformStandin, day: CapacityDay) -> list[str]:
    """Return the violations that the hosts saw, except second runs of tasks that allow copies."""
    copied = {spec.job_id for spec in day.specs if spec.steps[0].allows_copies}
    over = platform.hosts.ledger.over_capacity
    return [
        each
        for each in find_violations(platform)
        if each in over or not any(job in each for job in copied)
    ]


async def _change_capacities(
    platform: PlatformStandin, changes: tuple[CapacityChange, ...]
) -> None:
    began_at_s = asyncio.get_running_loop().time()
    for change in changes:
        await asyncio.sleep(began_at_s + change.at_s - asyncio.get_running_loop().time())
        up = [host for host in platform.hosts.hosts.values() if host.is_up]
        if up:
            platform.resize_host(up[change.target % len(up)].record.id, change.capacity)


async def _hide_entries(platform: PlatformStandin, span: Span) -> None:
    await asyncio.sleep(span[0])
    platform.store.unreadable_topics.add(HOSTS.topic)
    await asyncio.sleep(span[1] - span[0])
    platform.store.unreadable_topics.discard(HOSTS.topic)


async def _lose_orders(platform: PlatformStandin, span: Span) -> None:
    await asyncio.sleep(span[0])
    faults = platform.hosts.faults
    faults.lost_share, faults.late_s = 1.0, NEVER_S
    await asyncio.sleep(span[1] - span[0])
    faults.lost_share = 0.0


async def _keep_heartbeats(platform: PlatformStandin, period_s: float) -> None:
    if period_s:
        await platform.send_heartbeats(period_s)


async def _play_trouble(platform: PlatformStandin, trouble: Trouble) -> None:
    await asyncio.sleep(trouble.at_s)
    await bring_about(platform, trouble)
