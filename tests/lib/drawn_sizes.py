"""Random days of jobs that go over the limits of the platform, on virtual time.

Each day is drawn from its seed alone: jobs that are wide, run many times or fail at first, limits
of the store and of hosts' reports that they pass, routes that are taken away and come back, an
owner that can't read the configuration, and failures of nodes, store and hosts.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec

from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_policy import make_job_policy
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.node_settings import StoreLimits
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import OPERATORS, PlatformStandin
from tests.lib.crashing import feed, wait_until_ended
from tests.lib.day_troubles import Trouble, TroubleKind, bring_about
from tests.lib.drawn_findings import DrawnFindings, Span, draw_spans, refuse_calls
from tests.lib.job_platforms import (
    POOLS,
    QUEUE,
    find_violations,
    get_owner,
    make_job,
    start_platform,
)
from tests.lib.virtual import run_virtual

JOBS = 12
JOB_PERIOD_S = 1.0
# Failures occur as long as jobs arrive.
LENGTH_S = JOBS * JOB_PERIOD_S
SPAN_S = (1.0, 6.0)
ENDED_WITHIN_S = 200.0
SMALL = StepSpec(1, cpu_millicores=40, memory_mb=10)
# A host has room for 400 tasks, and lists this many ends at once.
ENDS_PER_REPORT = (20, 60)
# The rows of a part fit in a record, those of a whole job need not.
LIMITS = StoreLimits(12, 8_000, 40_000, 1_000)
OTHER_QUEUE = QueuePolicy("other", "press.example", "/other/", QUEUE.pool)
WORK_S = (0.3, 1.0, 2.5)
KINDS = (
    TroubleKind.KILL_OWNER,
    TroubleKind.STOP_OWNER,
    TroubleKind.KILL_ALL,
    TroubleKind.CUT_NODE,
    TroubleKind.CUT_HOST,
    TroubleKind.LOSE_ORDERS,
    TroubleKind.STORE_SILENT,
    TroubleKind.STORE_SLOW,
    TroubleKind.LOSE_APPENDS,
    TroubleKind.UNLIST_OWNER,
)


@dataclass(frozen=True)
class SizedDay:
    """A day: its jobs, limits and failures.

    In the spans of ``store_down`` the store refuses all calls, in those of ``route_gone`` the
    configuration lacks the jobs' queue, and in those of ``blind`` the pool's owner can't read the
    operators' records.  A task's first ``failure_count`` runs fail.
    """

    seed: int
    nodes: int
    ends_per_report: int
    work_s: float
    failure_count: int
    specs: tuple[JobSpec, ...]
    troubles: tuple[Trouble, ...]
    store_down: tuple[Span, ...]
    route_gone: tuple[Span, ...]
    blind: tuple[Span, ...]


def draw_sized_day(seed: int) -> SizedDay:
    """Draw a day from its seed alone."""
    drawn = random.Random(f"sizes of {seed}")
    return SizedDay(
        seed,
        drawn.choice((3, 5)),
        drawn.choice(ENDS_PER_REPORT),
        drawn.choice(WORK_S),
        drawn.randrange(QUEUE.attempts_max),
        tuple(_draw_job(drawn, number) for number in range(1, JOBS + 1)),
        tuple(_draw_troubles(drawn)),
        tuple(draw_spans(drawn, LENGTH_S, SPAN_S)),
        tuple(draw_spans(drawn, LENGTH_S, SPAN_S)),
        tuple(draw_spans(drawn, LENGTH_S, SPAN_S)),
    )


def find_on_sized_day(seed: int) -> DrawnFindings:
    """Simulate the day of a seed; a simulation that stops is a finding as well."""
    try:
        return run_virtual(play_sized_day(draw_sized_day(seed)))
    except AssertionError as error:
        return DrawnFindings(seed, (), (str(error),))


async def play_sized_day(day: SizedDay) -> DrawnFindings:
    """Simulate a day and return its findings."""
    starts: Counter[TaskKey] = Counter()

    def plan(task: TaskKey) -> TaskPlan:
        starts[task] += 1
        # Only some tasks fail, so that the day stays short.
        fails = starts[task] <= day.failure_count and task.index % 10 == 0
        end = RunEnd.FAILED if fails else RunEnd.DONE
        return TaskPlan(day.work_s, SMALL.resources, end)

    def prepare(platform: PlatformStandin) -> None:
        platform.store_limits = LIMITS
        platform.store.limits = LIMITS.record_limits
        platform.ends_per_report_max = day.ends_per_report

    platform = await start_platform(plan, nodes=day.nodes, seed=day.seed, prepare=prepare)
    await asyncio.gather(
        feed(platform, day.specs, JOB_PERIOD_S),
        *(_play_trouble(platform, each) for each in day.troubles),
        *(refuse_calls(platform.store, span) for span in day.store_down),
        *(_blind_owner(platform, span) for span in day.blind),
        _change_routes(platform, day.route_gone),
    )
    statuses = await wait_until_ended(platform, day.specs, ENDED_WITHIN_S)
    undone = [
        f"{job_id} {status}"
        for job_id, status in statuses.items()
        if status is not JobStatus.SUCCEEDED
    ]
    return DrawnFindings(day.seed, tuple(find_violations(platform)), tuple(undone))


def _draw_job(drawn: random.Random, number: int) -> JobSpec:
    """Draw an ordinary job, a wide one, one of many steps, or one that runs many times."""
    kind = drawn.choice(("ordinary", "ordinary", "ordinary", "wide", "long", "timed"))
    task_count = {"wide": 500, "timed": 60, "long": 1}.get(kind, 6)
    step_count = 60 if kind == "long" else 1
    steps = tuple(
        msgspec.structs.replace(
            SMALL, task_count=task_count, after_steps=(step - 1,) if step % 20 else ()
        )
        for step in range(step_count)
    )
    spec = make_job(number, *steps)
    spec = msgspec.structs.replace(spec, policy=make_job_policy(QUEUE), config_version=1)
    if kind != "timed":
        return spec
    return msgspec.structs.replace(
        spec, occurrence_count=drawn.choice((4, 12)), first_due_ms=2000, interval_ms=1000
    )


def _draw_troubles(drawn: random.Random) -> Iterator[Trouble]:
    for _ in range(drawn.choice((0, 2, 4))):
        at_s, length_s = drawn.uniform(0.0, LENGTH_S), drawn.uniform(1.0, 6.0)
        yield Trouble(at_s, drawn.choice(KINDS), drawn.randrange(1000), length_s)


async def _play_trouble(platform: PlatformStandin, trouble: Trouble) -> None:
    await asyncio.sleep(trouble.at_s)
    await bring_about(platform, trouble)


async def _blind_owner(platform: PlatformStandin, span: Span) -> None:
    """Kill the pool's owner; its next process can't read the operators' records for a while."""
    await asyncio.sleep(span[0])
    owner = get_owner(platform)
    if owner is None:
        return
    platform.store.unreadable_by.add((owner, OPERATORS.topic))
    platform.kill_node(owner)
    platform.start_node(owner)
    await asyncio.sleep(span[1] - span[0])
    platform.store.unreadable_by.discard((owner, OPERATORS.topic))


async def _change_routes(platform: PlatformStandin, spans: tuple[Span, ...]) -> None:
    """Publish a version for each begin and end of a span in which the route is gone."""
    loop = asyncio.get_running_loop()
    began_at_s, version = loop.time(), 1
    for at_s in sorted(moment for span in spans for moment in span):
        await asyncio.sleep(max(0.0, began_at_s + at_s - loop.time()))
        version += 1
        is_gone = any(begin <= at_s < end for begin, end in spans)
        queues = (OTHER_QUEUE,) if is_gone else (OTHER_QUEUE, replace(QUEUE, priority=version))
        platform.configure(version, queues, POOLS)
