"""What soaks have beside faults: hosts that take a while to answer, odd input, drains and turns.

Their draws are independent of a seed's other ones.
"""

import asyncio
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from robinthread._internal.standins.run_ledger import LedgerRun
from tests.lib.draining import DRAIN_S, find_starts_on_draining_hosts
from tests.lib.drawn_findings import Span
from tests.lib.soak.callers import CallerTracker
from tests.lib.soak.demand import get_pool, play_turns
from tests.lib.soak.drains import DrainSeries, draw_drains, play_drains
from tests.lib.soak.evacuations import CONTACT_S
from tests.lib.soak.idle_jobs import find_idle_jobs
from tests.lib.soak.node_process import NodeProcess
from tests.lib.soak.odd_input import OddInput, apply_odd_input, draw_odd_input
from tests.lib.soak.troubles import SoakTrouble
from tests.lib.soak.world import ADVISED_POOL, HOST_CAPACITY, OTHER_POOLS, POOL, SoakWorld

# Hosts answer a start within so long; in soaks with large jobs, whose steps follow each other,
# within less.
ANSWER_MAX_S = 0.5
QUICK_ANSWER_MAX_S = 0.02
# The body of a turn's jobs, whose tasks take as long as those of the other jobs.
JOB = '{"spec": "text", "steps": [{"count": 3, "cpu": 1000, "mem_mb": 100, "estimate_ms": 900}]}'


@dataclass(frozen=True)
class SoakExtras:
    """Answer delays of hosts in turn, of the list of machines and of advice; the day's extras."""

    host_answers_s: tuple[float, ...]
    machines_answer_s: float
    advice_answer_s: float
    pools: tuple[str, ...] = (POOL,)
    odd_input: tuple[OddInput, ...] = ()
    drains: tuple[DrainSeries, ...] = ()

    @property
    def has_turns(self) -> bool:
        """Return whether there are other pools, and demand comes in turns."""
        return len(self.pools) > 1


NO_EXTRAS = SoakExtras((0.0,), 0.0, 0.0)


def draw_extras(seed: int, length_s: float, has_large_jobs: bool, is_odd: bool) -> SoakExtras:
    """Draw the answer delays, and odd input, drains and turns if the day ``is_odd``."""
    drawn = random.Random(f"extras of {seed}")
    answer_max_s = QUICK_ANSWER_MAX_S if has_large_jobs else ANSWER_MAX_S
    answers_s = tuple(drawn.uniform(0, answer_max_s) for _ in range(16))
    others_s = drawn.uniform(0, ANSWER_MAX_S), drawn.uniform(0, ANSWER_MAX_S)
    if not is_odd:
        return SoakExtras(answers_s, *others_s)
    pools = (POOL, *OTHER_POOLS)
    odd_input = tuple(draw_odd_input(drawn, length_s))
    return SoakExtras(
        answers_s, *others_s, pools, odd_input, tuple(draw_drains(drawn, length_s, pools))
    )


def set_answer_delays(world: SoakWorld, extras: SoakExtras) -> None:
    """Set how long hosts, the machines and advice take to answer."""
    for number, manner in enumerate(world.host_manners.values()):
        manner.answer_s = extras.host_answers_s[number % len(extras.host_answers_s)]
    world.machines_manner.answer_s = extras.machines_answer_s
    world.advice_manner.answer_s = extras.advice_answer_s


async def apply_early(world: SoakWorld, extras: SoakExtras) -> None:
    """Apply the odd input that comes before the nodes start."""
    for odd in extras.odd_input:
        if odd.at_s < 0:
            await apply_odd_input(world, [], odd)


async def play_extras(
    world: SoakWorld,
    nodes: list[NodeProcess],
    tracker: CallerTracker,
    extras: SoakExtras,
    length_s: float,
) -> list[str]:
    """Apply the odd input, play drains and turns; return violations that callers saw."""
    odd = [apply_odd_input(world, nodes, each) for each in extras.odd_input if each.at_s >= 0]
    drains = [play_drains(world, series) for series in extras.drains]
    turns = [play_turns(nodes, tracker, extras.pools, length_s, JOB)] if extras.has_turns else []
    found, _, following = await asyncio.gather(
        asyncio.gather(*odd), asyncio.gather(*drains), asyncio.gather(*turns)
    )
    # Callers of jobs that have not ended are asked for them after the day.
    for task in (task for tasks in following for task in tasks):
        task.cancel()
    return [text for texts in found for text in texts]


def find_extra_breaks(
    world: SoakWorld,
    tracker: CallerTracker,
    extras: SoakExtras,
    troubles: Sequence[SoakTrouble],
    outages: Iterable[Span],
    day_began_at_s: float,
    lag_s: float,
) -> list[str]:
    """Describe late starts on draining hosts, and, on days without troubles, idle jobs."""
    spans = [
        (day_began_at_s + from_s, day_began_at_s + to_s + CONTACT_S)
        for from_s, to_s in [*_list_out_of_touch(troubles), *outages]
    ]

    def is_in_touch(run: LedgerRun, span: Span) -> bool:
        return not any(from_s < span[1] and span[0] < to_s for from_s, to_s in spans)

    runs = world.hosts.ledger.runs
    late = find_starts_on_draining_hosts(
        runs, world.host_changes.by_host, DRAIN_S + lag_s, is_judged=is_in_touch
    )
    if troubles or not extras.has_turns:
        return late
    # Tasks of the advised pool may wait for advice, while nobody knows whether there is room.
    accepted_at_s = {
        job: at_s
        for job, at_s in tracker.accepted_at_s.items()
        if get_pool(job, extras.pools) != ADVISED_POOL
    }
    return late + find_idle_jobs(
        runs,
        accepted_at_s,
        world.host_changes.by_host,
        HOST_CAPACITY,
        lambda job: get_pool(job, extras.pools),
        lag_s,
    )


def _list_out_of_touch(troubles: Iterable[SoakTrouble]) -> list[Span]:
    """Return the spans in which some node did not run, or a start may have been on its way."""
    kinds = ("STORE", "PAUSE", "HOST_")
    return [
        (trouble.at_s, trouble.at_s + trouble.for_s)
        for trouble in troubles
        if trouble.kind.name.startswith(kinds)
    ]
