"""Random days of workspaces with limits; a seed determines the whole day."""

import asyncio
import itertools
import math
import random
import statistics
from collections.abc import Iterator
from dataclasses import dataclass

from robinthread._internal.models.resources import Resources
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.day_troubles import Trouble, TroubleKind, bring_about
from tests.lib.job_platforms import find_violations, get_owner
from tests.lib.limited import (
    LIMIT,
    MAPS,
    POOLS,
    SAMPLE_S,
    Feeder,
    configure,
    get_steward,
    iter_starved,
    start_limited,
)
from tests.lib.virtual import run_virtual

KINDS = (
    TroubleKind.KILL_OWNER,
    TroubleKind.KILL_NODE,
    TroubleKind.STOP_OWNER,
    TroubleKind.CUT_NODE,
    TroubleKind.CUT_PEERS,
    TroubleKind.LOSE_ORDERS,
    TroubleKind.CUT_HOST,
    TroubleKind.CRASH_HOST,
    TroubleKind.STORE_SLOW,
    TroubleKind.STORE_REFUSES,
)
DAY_S = 40.0
TROUBLES = (3, 6)
LENGTHS_S = (1.0, 6.0)
FALLS = (Resources(8_000, 0), Resources(12_000, 0), Resources(20_000, 0))
FALL_S = (8.0, 14.0)
TURN_S = 5.0
# Job rates of the pool whose turn it is and of the others.  The jobs of the pool in turn need half
# of the limit, and lasting jobs use a quarter: all fit, except while the limit has fallen.
RATES_PER_S = (2.0, 0.1)
LASTING_JOBS = 1
# If there is free capacity and CALM_BEFORE_S have passed since the last fault, a workspace under
# half of its limit must not wait longer than WAIT_MAX_S.
CALM_BEFORE_S = 4.0
WAIT_MAX_S = 3.0
DONE_WITHIN_S = 40.0


@dataclass(frozen=True)
class LimitDay:
    """A day: its faults with their times, and when the limit falls, to which value, and rises."""

    seed: int
    nodes: int
    kept_share: float
    fallen: Resources
    falls_at_s: float
    rises_at_s: float
    loses_steward_at_s: float
    troubles: tuple[Trouble, ...]


@dataclass(frozen=True)
class LimitFindings:
    """Violations found on a day; ``longest_wait_s`` is the longest wait in calm times.

    ``done_s`` is the mean time of a job from its submission to the end of its last task.
    """

    seed: int
    breaks: tuple[str, ...]
    starved: tuple[str, ...]
    undone: tuple[str, ...]
    longest_wait_s: float
    done_s: float

    @property
    def is_clean(self) -> bool:
        """Return whether the day passed without violations."""
        return not (self.breaks or self.starved or self.undone)


def draw_limit_day(seed: int, kept_share: float = 0.2) -> LimitDay:
    """Draw a day from its seed."""
    drawn = random.Random(seed)
    falls_at_s = drawn.uniform(*FALL_S)
    return LimitDay(
        seed,
        drawn.choice((4, 5, 8)),
        kept_share,
        drawn.choice(FALLS),
        falls_at_s,
        falls_at_s + drawn.uniform(6.0, 14.0),
        # In half of the days, the steward is lost at the moment of the fall.
        drawn.choice((falls_at_s, drawn.uniform(0.0, DAY_S))),
        tuple(
            Trouble(
                drawn.uniform(0.0, DAY_S - 10),
                drawn.choice(KINDS),
                drawn.randrange(1000),
                drawn.uniform(*LENGTHS_S),
            )
            for _ in range(drawn.randint(*TROUBLES))
        ),
    )


def find_on_limit_day(seed: int) -> LimitFindings:
    """Draw a day and play it on virtual time."""
    return run_virtual(_play(draw_limit_day(seed)))


def find_with_fixed_split(seed: int) -> LimitFindings:
    """Play the same day with each limit permanently split evenly over the pools."""
    return run_virtual(_play(draw_limit_day(seed, kept_share=1.0)))


async def _play(day: LimitDay) -> LimitFindings:
    platform = await start_limited(day.nodes, day.seed, day.kept_share)
    feeder, spans = Feeder(platform), list[tuple[float, float]]()
    waits: dict[str, float] = {}
    for _ in range(LASTING_JOBS):
        await feeder.hand_in(MAPS, POOLS[day.seed % len(POOLS)], is_lasting=True)
    watching = asyncio.create_task(_watch(platform, day, spans, waits))
    async with asyncio.TaskGroup() as group:
        group.create_task(_feed_turns(feeder))
        group.create_task(_change_limit(platform, day))
        group.create_task(_lose_steward(platform, day, spans))
        for trouble in day.troubles:
            group.create_task(_inject_fault(platform, trouble, spans))
    undone = await _wait_until_done(platform, feeder)
    watching.cancel()
    return LimitFindings(
        day.seed,
        tuple(find_violations(platform)),
        tuple(
            f"{job} waited {wait_s:.1f} s" for job, wait_s in waits.items() if wait_s > WAIT_MAX_S
        ),
        undone,
        max(waits.values(), default=0.0),
        statistics.fmean(filter(math.isfinite, feeder.list_done_s()[MAPS])),
    )


async def _feed_turns(feeder: Feeder) -> None:
    turns = itertools.islice(itertools.cycle(POOLS), round(DAY_S / TURN_S))
    for in_turn in turns:
        await asyncio.gather(
            *(feeder.feed(MAPS, pool, RATES_PER_S[pool != in_turn], TURN_S) for pool in POOLS)
        )


async def _change_limit(platform: PlatformStandin, day: LimitDay) -> None:
    await asyncio.sleep(day.falls_at_s)
    configure(platform, 2, day.fallen)
    await asyncio.sleep(day.rises_at_s - day.falls_at_s)
    configure(platform, 3, LIMIT)


async def _inject_fault(
    platform: PlatformStandin, trouble: Trouble, spans: list[tuple[float, float]]
) -> None:
    await asyncio.sleep(trouble.at_s)
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    spans.append((began_at_s, began_at_s + trouble.length_s + CALM_BEFORE_S))
    await bring_about(platform, trouble)
    spans.append((began_at_s, loop.time()))


async def _lose_steward(
    platform: PlatformStandin, day: LimitDay, spans: list[tuple[float, float]]
) -> None:
    await asyncio.sleep(day.loses_steward_at_s)
    name = get_steward(platform)
    if name is None:
        return
    now_s = asyncio.get_running_loop().time()
    spans.append((now_s, now_s))
    platform.kill_node(name)
    await asyncio.sleep(1)
    if name not in platform.nodes:
        platform.start_node(name)


async def _watch(
    platform: PlatformStandin,
    day: LimitDay,
    spans: list[tuple[float, float]],
    waits: dict[str, float],
) -> None:
    """Record how long jobs wait in calm times though workspace and pool have free capacity."""
    loop = asyncio.get_running_loop()
    began_at_s, since_s = loop.time(), dict[str, float]()
    while True:
        now_s = loop.time()
        is_fallen = day.falls_at_s <= now_s - began_at_s < day.rises_at_s
        is_calm = all(not from_s <= now_s < to_s + CALM_BEFORE_S for from_s, to_s in spans)
        starved = set(iter_starved(platform, day.fallen if is_fallen else LIMIT)) if is_calm else ()
        since_s = {job: since_s.get(job, now_s) for job in starved}
        for job, from_s in since_s.items():
            waits[job] = max(waits.get(job, 0.0), now_s - from_s)
        await asyncio.sleep(SAMPLE_S)


async def _wait_until_done(platform: PlatformStandin, feeder: Feeder) -> tuple[str, ...]:
    """Wait until all accepted jobs except lasting ones are done; return those that are not."""
    until_s = asyncio.get_running_loop().time() + DONE_WITHIN_S
    while undone := tuple(_iter_undone(platform, feeder)):
        if asyncio.get_running_loop().time() > until_s:
            break
        await asyncio.sleep(0.5)
    return undone


def _iter_undone(platform: PlatformStandin, feeder: Feeder) -> Iterator[str]:
    ends: dict[str, set[int]] = {}
    for run in platform.hosts.ledger.runs:
        if run.end == "done":
            ends.setdefault(run.task.job_id, set()).add(run.task.index)
    for spec in feeder.accepted:
        is_open = get_owner(platform, spec.pool) is not None
        if not spec.is_lasting and len(ends.get(spec.job_id, ())) < spec.steps[0].task_count:
            yield f"{spec.job_id} in {spec.pool}, owned: {is_open}"
