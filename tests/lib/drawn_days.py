"""Days of random faults on the stand-in; a seed determines the whole day before it is played."""

import asyncio
import itertools
import random
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.job_service import JobRequestOutcome
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin, StartTimeSource
from robinthread._internal.standins.run_ledger import LedgerRun
from tests.lib.day_oddities import DayDelays, drain_busiest, draw_delays, play_oddities, set_delays
from tests.lib.day_troubles import HOST_KINDS, HOSTS_MIN, Trouble, TroubleKind, bring_about
from tests.lib.draining import find_starts_on_draining_hosts
from tests.lib.job_platforms import find_violations, get_owner, get_status, hand_in, make_job
from tests.lib.lasting import (
    LASTING_JOB,
    LASTING_NUMBER,
    get_longest_gap_s,
    list_runs,
    start_lasting,
)
from tests.lib.virtual import run_virtual

# Faults begin within TROUBLES_S, in groups of AT_ONCE with pauses of PAUSES_S between groups.
TROUBLES_S = 60.0
AT_ONCE = (1, 2, 3)
PAUSES_S = (4.0, 8.0, 16.0)
SPREAD_S = 3.0
# A day has only some kinds of faults, so that the same kinds coincide more often.
HOST_KINDS_A_DAY = 2
OTHER_KINDS_A_DAY = 3
LENGTHS_S = (1.0, 8.0)
# A lasting task must run again if SINCE_END_S have passed since its end and a calm time of CALM_S
# follows, after CALM_BEFORE_S that were calm as well.
SINCE_END_S = 6.0
CALM_S = 3.0
CALM_BEFORE_S = 4.0
# Within RECOVERY_S after the last fault the pool has an owner; of the jobs that come later, at
# least SERVED_SHARE_MIN are served.
RECOVERY_S = 9.0
SERVED_SHARE_MIN = 0.25
# Time for which jobs still come after the last fault, and the limit for their completion.
FEED_AFTER_S = 18.0
DONE_WITHIN_S = 40.0
# A caller gives the node 3 s for its response; the limit adds a margin.
ANSWERED_WITHIN_S = 4.0
# Step of the jobs that come continuously; eight of its tasks fill a host.
SMALL = StepSpec(6, cpu_millicores=2000, memory_mb=100)

Span = tuple[float, float]


@dataclass(frozen=True)
class DrawnDay:
    """A day: its platform, its workload, and its faults with their times."""

    seed: int
    nodes: int
    hosts: int
    reserve: int
    lasting: StepSpec
    job_period_s: float
    heartbeat_s: float
    latency_spread: float
    troubles: tuple[Trouble, ...]
    delays: DayDelays | None = None


@dataclass(frozen=True)
class SubmittedJob:
    """A submitted job and whether it was accepted."""

    job_id: str
    at_s: float
    is_accepted: bool


@dataclass(frozen=True)
class DayFindings:
    """Violations found on a day, and the longest time for which a lasting task did not run."""

    seed: int
    lost: tuple[str, ...]
    breaks: tuple[str, ...]
    undone: tuple[str, ...]
    unserved: tuple[str, ...]
    longest_gap_s: float

    @property
    def is_clean(self) -> bool:
        """Return whether the day passed without violations."""
        return not (self.lost or self.breaks or self.undone or self.unserved)


def draw_day(seed: int, has_delays: bool = False) -> DrawnDay:
    """Draw a day from its seed, with delays of answers and odd input if it ``has_delays``."""
    drawn = random.Random(seed)
    lasting = StepSpec(
        5,
        cpu_millicores=drawn.choice((2000, 4000, 8000)),
        memory_mb=100,
        is_lasting=True,
        per_host_max=drawn.choice((0, 1, 2)),
    )
    return DrawnDay(
        seed,
        # A topic of the store has 12 partitions.
        nodes=drawn.choice((3, 5, 5, 8, 15)),
        hosts=HOSTS_MIN + 2,
        reserve=drawn.choice((0, 0, 2)),
        lasting=lasting,
        # At the shortest period, jobs fill the hosts if some hosts are down.
        job_period_s=drawn.choice((0.3, 0.6, 2.0)),
        heartbeat_s=drawn.choice((0.0, 1.0, 3.0)),
        latency_spread=drawn.choice((0.0, 0.5, 0.9)),
        troubles=tuple(_iter_troubles(drawn)),
        delays=draw_delays(seed, TROUBLES_S) if has_delays else None,
    )


def _iter_troubles(drawn: random.Random) -> Iterator[Trouble]:
    others = [kind for kind in TroubleKind if kind not in HOST_KINDS]
    kinds = drawn.sample(HOST_KINDS, HOST_KINDS_A_DAY) + drawn.sample(others, OTHER_KINDS_A_DAY)
    # Most failures found so far needed the loss of an owner in addition.
    kinds.append(TroubleKind.KILL_OWNER)
    at_s = 0.0
    while at_s < TROUBLES_S:
        for kind in drawn.sample(kinds, drawn.choice(AT_ONCE)):
            later_s, target = drawn.uniform(0, SPREAD_S), drawn.randrange(1000)
            yield Trouble(at_s + later_s, kind, target, drawn.uniform(*LENGTHS_S))
        at_s += drawn.choice(PAUSES_S)


def find_on_day(seed: int, keeps_host_ids: bool = False, has_delays: bool = False) -> DayFindings:
    """Draw a day and play it on virtual time; an AssertionError counts as a finding."""
    try:
        return run_virtual(play_day(draw_day(seed, has_delays), keeps_host_ids))
    except AssertionError as error:
        return DayFindings(seed, (), (), (), (str(error),), 0.0)


async def play_day(day: DrawnDay, keeps_host_ids: bool = False) -> DayFindings:
    """Play a day and return its findings; hosts restart under their ids if ``keeps_host_ids``."""
    platform = await _start(day)
    platform.keeps_host_ids, platform.start_time_sources = keeps_host_ids, tuple(StartTimeSource)
    loop = asyncio.get_running_loop()
    heartbeats = asyncio.create_task(platform.send_heartbeats(day.heartbeat_s or TROUBLES_S * 10))
    jobs: list[asyncio.Task[SubmittedJob]] = []
    feeding = asyncio.create_task(_feed(platform, day.job_period_s, jobs))
    oddities = day.delays.oddities if day.delays is not None else ()
    spans = await asyncio.gather(
        *(_play_trouble(platform, each) for each in day.troubles),
        play_oddities(platform, oddities),
    )
    ended_at_s = loop.time()
    await asyncio.sleep(RECOVERY_S)
    owner = get_owner(platform)
    if day.delays is not None:
        drain_busiest(platform)
    await asyncio.sleep(FEED_AFTER_S - RECOVERY_S)
    feeding.cancel()
    submitted = await asyncio.gather(*jobs)
    undone = await _wait_until_shown(platform, {job.job_id for job in submitted if job.is_accepted})
    late = [job for job in submitted if job.at_s > ended_at_s + RECOVERY_S]
    served = sum(job.is_accepted and job.job_id not in undone for job in late)
    unserved = [f"{served} of {len(late)} jobs served"] * (served < len(late) * SERVED_SHARE_MIN)
    unserved += [f"no owner {RECOVERY_S:g} s after the last trouble"] * (owner is None)
    heartbeats.cancel()
    troubled = list(itertools.chain(*spans))
    breaks = find_violations(platform)
    if day.delays is not None:
        breaks += _find_starts_on_draining_hosts(platform, troubled)
    return DayFindings(
        day.seed,
        tuple(find_lost(list_runs(platform), troubled, loop.time())),
        tuple(breaks),
        tuple(sorted(undone)),
        tuple(unserved),
        get_longest_gap_s(platform),
    )


async def _start(day: DrawnDay) -> PlatformStandin:
    def plan(task: TaskKey) -> TaskPlan:
        if task.job_id == LASTING_JOB:
            return TaskPlan(None, Resources(day.lasting.cpu_millicores, 100))
        return TaskPlan(1.0 + 0.5 * task.index, Resources(SMALL.cpu_millicores, 100))

    platform = await start_lasting(
        day.nodes, day.hosts, day.reserve, day.lasting, plan, seed=day.seed
    )
    platform.store.faults.latency_spread = day.latency_spread
    if day.delays is not None:
        set_delays(platform, day.delays)
    return platform


def _find_starts_on_draining_hosts(platform: PlatformStandin, troubled: list[Span]) -> list[str]:
    """Describe the late starts on draining hosts in calm times."""

    def is_calm(run: LedgerRun, span: Span) -> bool:
        return not any(
            from_s < span[1] and span[0] < to_s + CALM_BEFORE_S for from_s, to_s in troubled
        )

    changes = platform.host_changes.by_host
    return find_starts_on_draining_hosts(platform.hosts.ledger.runs, changes, is_judged=is_calm)


async def _play_trouble(platform: PlatformStandin, trouble: Trouble) -> list[Span]:
    await asyncio.sleep(trouble.at_s)
    return await bring_about(platform, trouble)


async def _feed(
    platform: PlatformStandin, period_s: float, jobs: list[asyncio.Task[SubmittedJob]]
) -> None:
    """Submit jobs to the running nodes in turn."""
    for number in itertools.count(LASTING_NUMBER + 1):
        if names := sorted(platform.nodes):
            job = _hand_in(platform, names[number % len(names)], number)
            jobs.append(asyncio.create_task(job))
        await asyncio.sleep(period_s)


async def _hand_in(platform: PlatformStandin, node: str, number: int) -> SubmittedJob:
    at_s, spec, outcome = asyncio.get_running_loop().time(), make_job(number, SMALL), None
    node_before = platform.nodes[node]
    try:
        async with asyncio.timeout(ANSWERED_WITHIN_S):
            outcome = await hand_in(platform, node, spec)
    except TimeoutError:
        # A timeout is allowed only if the node was killed: its callers see their connection end.
        assert platform.nodes.get(node) is not node_before, f"{node} has not answered"
    return SubmittedJob(spec.job_id, at_s, outcome is JobRequestOutcome.DONE)


async def _wait_until_shown(platform: PlatformStandin, jobs: set[str]) -> set[str]:
    """Wait up to ``DONE_WITHIN_S`` for jobs to be shown as succeeded; return those that are not."""
    loop = asyncio.get_running_loop()
    until_s, names, undone = loop.time() + DONE_WITHIN_S, sorted(platform.nodes), sorted(jobs)
    for name in itertools.cycle(names):
        found = await asyncio.gather(*(get_status(platform, name, job) for job in undone))
        pairs = zip(undone, found, strict=True)
        undone = [job for job, status in pairs if status is not JobStatus.SUCCEEDED]
        if not undone or loop.time() > until_s:
            break
        await asyncio.sleep(0.5)
    return set(undone)


def find_lost(runs: list[LedgerRun], troubled: list[Span], now_s: float) -> list[str]:
    """Return a text for each lasting task that did not run at the end of a calm time."""
    by_task: dict[TaskKey, list[LedgerRun]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.began_at_s):
        by_task[run.task].append(run)
    pairs = (pair for each in by_task.values() for pair in itertools.zip_longest(each, each[1:]))
    return [
        f"{run.task} {run.end} on {run.host_id} at {run.ended_at_s:.2f} s, again {again_s:.2f} s"
        for run, later in pairs
        if run.ended_at_s is not None
        and (again_s := later.began_at_s if later else now_s)
        >= _find_calm_end_s(run.ended_at_s + SINCE_END_S, troubled)
    ]


def _find_calm_end_s(from_s: float, troubled: list[Span]) -> float:
    """Return the end of the first calm time at or after a moment."""
    for began_at_s, ended_at_s in sorted(troubled):
        if began_at_s < from_s + CALM_S and ended_at_s > from_s - CALM_BEFORE_S:
            from_s = max(from_s, ended_at_s + CALM_BEFORE_S)
    return from_s + CALM_S
