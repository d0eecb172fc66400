"""Random days with crashing tasks among sound ones; a seed determines the whole day."""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass

from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.crashing import (
    SMALL,
    crash_hosts,
    feed,
    find_excess,
    find_given_up_early,
    wait_until_ended,
)
from tests.lib.day_troubles import Trouble, TroubleKind, bring_about
from tests.lib.job_platforms import find_violations, hand_in, make_job, start_platform
from tests.lib.lasting import LASTING_JOB, LASTING_NUMBER, get_longest_gap_s
from tests.lib.virtual import run_virtual

# Jobs arrive for about 12 s, and troubles occur during the same time.
JOBS = 80
JOB_PERIOD_S = 0.15
TROUBLES_S = 12.0
ENDED_WITHIN_S = 240.0
# Number of jobs with a task that crashes its hosts, and the time from start to crash.
CRASHING = (1, 3, 8, 16)
CRASH_AFTER_S = (0.002, 0.01, 0.1, 0.6)
# Rate of hosts that crash by themselves, per second.
OWN_CRASHES_PER_S = (0.0, 0.0, 0.2, 1.0)
HOST_BACK_S = (0.8, 3.0, 6.0)
KINDS = (
    TroubleKind.KILL_OWNER,
    TroubleKind.STOP_OWNER,
    TroubleKind.CUT_NODE,
    TroubleKind.CUT_HOST,
    TroubleKind.DRAIN_HOST,
    TroubleKind.STORE_SILENT,
    TroubleKind.STORE_SLOW,
    TroubleKind.LOSE_ORDERS,
    TroubleKind.MACHINES_SILENT,
)
ORDINARY = StepSpec(4, cpu_millicores=1000, memory_mb=100)
GANG = StepSpec(3, cpu_millicores=1000, memory_mb=100, is_gang=True, per_host_max=1)
COPIED = StepSpec(3, cpu_millicores=1000, memory_mb=100, allows_copies=True)
LATER = StepSpec(2, cpu_millicores=1000, memory_mb=100, after_steps=(0,))
LASTING = StepSpec(4, cpu_millicores=1000, memory_mb=100, is_lasting=True, per_host_max=1)
SHAPES = ((ORDINARY,), (ORDINARY, LATER), (GANG,), (COPIED,))


@dataclass(frozen=True)
class CrashDay:
    """A day: its platform, jobs, crashing tasks and other troubles."""

    seed: int
    hosts: int
    specs: tuple[JobSpec, ...]
    crashing: frozenset[TaskKey]
    crash_after_s: float
    own_crashes_per_s: float
    host_back_s: float
    troubles: tuple[Trouble, ...]


@dataclass(frozen=True)
class CrashFindings:
    """Violations found on a day, and the cost of the crashes.

    ``given_up_sound`` are failed jobs without a crashing task: if hosts crash by themselves, two
    may do so by chance just as a suspect is on trial there.
    """

    seed: int
    excess: tuple[str, ...]
    given_up_early: tuple[str, ...]
    given_up_sound: tuple[str, ...]
    breaks: tuple[str, ...]
    undone: tuple[str, ...]
    hosts_lost: int
    longest_gap_s: float

    @property
    def is_clean(self) -> bool:
        """Return whether no violation was found."""
        return not (self.excess or self.given_up_early or self.breaks or self.undone)


def draw_crash_day(seed: int) -> CrashDay:
    """Return the day that a seed determines."""
    drawn = random.Random(seed)
    specs = tuple(make_job(number + 10, *drawn.choice(SHAPES)) for number in range(JOBS))
    crashing = frozenset(
        _draw_task(drawn, spec) for spec in drawn.sample(specs, drawn.choice(CRASHING))
    )
    is_troubled = drawn.random() < 0.6
    return CrashDay(
        seed,
        drawn.choice((4, 8, 12)),
        specs,
        crashing,
        drawn.choice(CRASH_AFTER_S),
        drawn.choice(OWN_CRASHES_PER_S),
        drawn.choice(HOST_BACK_S),
        tuple(_draw_troubles(drawn)) if is_troubled else (),
    )


def find_on_crash_day(seed: int) -> CrashFindings:
    """Run the day of a seed on virtual time; a failed assertion counts as a finding."""
    try:
        return run_virtual(play_crash_day(draw_crash_day(seed)))
    except AssertionError as error:
        return CrashFindings(seed, (), (), (), (), (str(error),), 0, 0.0)


async def play_crash_day(day: CrashDay) -> CrashFindings:
    """Run a day and return the findings."""

    def plan(task: TaskKey) -> TaskPlan:
        if task.job_id == LASTING_JOB:
            return TaskPlan(None, SMALL)
        crashes_after_s = day.crash_after_s if task in day.crashing else None
        gang_size = GANG.task_count if _is_gang(day, task) else 0
        return TaskPlan(
            1.0, Resources(1000, 100), gang_size=gang_size, crashes_after_s=crashes_after_s
        )

    platform = await start_platform(plan, hosts=day.hosts, reserve=day.hosts, seed=day.seed)
    platform.host_replacement_s = day.host_back_s
    lasting = make_job(LASTING_NUMBER, LASTING)
    await hand_in(platform, "node0", lasting)
    crashing = asyncio.create_task(crash_hosts(platform, day.own_crashes_per_s, day.seed))
    feeding = asyncio.create_task(feed(platform, day.specs, JOB_PERIOD_S))
    await asyncio.gather(*(_play_trouble(platform, each) for each in day.troubles))
    await feeding
    crashing.cancel()
    statuses = await wait_until_ended(platform, day.specs, ENDED_WITHIN_S)
    guilty = {task.job_id for task in day.crashing}
    undone = [
        f"{job_id} {status}"
        for job_id, status in statuses.items()
        if status is None or not status.is_final
    ]
    return CrashFindings(
        day.seed,
        tuple(find_excess(platform)),
        tuple(find_given_up_early(platform, statuses)),
        tuple(
            job_id
            for job_id, status in statuses.items()
            if status is JobStatus.FAILED and job_id not in guilty
        ),
        tuple(_find_breaks(platform, day)),
        tuple(undone),
        sum(run.crashed_its_host for run in platform.hosts.ledger.runs),
        get_longest_gap_s(platform),
    )


def _draw_task(drawn: random.Random, spec: JobSpec) -> TaskKey:
    step = drawn.randrange(len(spec.steps))
    return TaskKey(spec.job_id, 0, step, drawn.randrange(spec.steps[step].task_count))


def _draw_troubles(drawn: random.Random) -> Iterator[Trouble]:
    for _ in range(drawn.choice((1, 2, 4))):
        at_s, length_s = drawn.uniform(0.0, TROUBLES_S), drawn.uniform(1.0, 6.0)
        yield Trouble(at_s, drawn.choice(KINDS), drawn.randrange(1000), length_s)


def _find_breaks(platform: PlatformStandin, day: CrashDay) -> list[str]:
    """Return the violations seen by hosts, except for tasks with copies, which run twice."""
    copied = {spec.job_id for spec in day.specs if spec.steps[0].allows_copies}
    return [each for each in find_violations(platform) if not any(job in each for job in copied)]


def _is_gang(day: CrashDay, task: TaskKey) -> bool:
    spec = next(spec for spec in day.specs if spec.job_id == task.job_id)
    return spec.steps[task.step].is_gang


async def _play_trouble(platform: PlatformStandin, trouble: Trouble) -> None:
    await asyncio.sleep(trouble.at_s)
    await bring_about(platform, trouble)
