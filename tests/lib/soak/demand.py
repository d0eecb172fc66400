"""Demand in turns during a soak: each pool in turn asks a multiple of its mean."""

import asyncio
import itertools
import random
from collections.abc import Iterator

from tests.lib.soak.callers import Caller, CallerTracker
from tests.lib.soak.node_process import NodeProcess
from tests.lib.soak.world import PATHS

MEAN_JOBS_PER_S = 2.0
TURN_TIMES = 5.0
# Outside of its turn a pool asks so much of its mean.
REST_TIMES = 0.2
TURN_S = 1.5
TURN_JOB_PREFIX = "7" * 4


def get_pool(job_id: str, pools: tuple[str, ...]) -> str:
    """Return the pool of a job: that of its number in the id of a turn's job, else the first."""
    if not job_id.startswith(TURN_JOB_PREFIX):
        return pools[0]
    return pools[int(job_id[len(TURN_JOB_PREFIX)], 16)]


async def play_turns(
    nodes: list[NodeProcess],
    tracker: CallerTracker,
    pools: tuple[str, ...],
    length_s: float,
    body: str,
) -> list[asyncio.Task[None]]:
    """Hand jobs in for ``length_s``; return the tasks that follow them to their ends."""
    following: list[asyncio.Task[None]] = []
    drawn = random.Random("order of the nodes")
    demand = (
        _play_pool(nodes, tracker, pools, number, following, body, drawn)
        for number in range(len(pools))
    )
    playing = [asyncio.create_task(each) for each in demand]
    await asyncio.sleep(length_s)
    for task in playing:
        task.cancel()
    await asyncio.gather(*playing, return_exceptions=True)
    return following


async def _play_pool(
    nodes: list[NodeProcess],
    tracker: CallerTracker,
    pools: tuple[str, ...],
    pool_number: int,
    following: list[asyncio.Task[None]],
    body: str,
    drawn: random.Random,
) -> None:
    path = PATHS[pools[pool_number]]
    for number, pause_s in enumerate(_iter_pauses_s(pool_number, len(pools))):
        caller = Caller(nodes, tracker, drawn.getrandbits(32), path)
        job_id = f"{TURN_JOB_PREFIX}{pool_number:x}{number:011x}"
        following.append(asyncio.create_task(_follow(caller, job_id, body)))
        await asyncio.sleep(pause_s)


async def _follow(caller: Caller, job_id: str, body: str) -> None:
    await caller.hand_in(job_id, body)
    await caller.follow(job_id)


def _iter_pauses_s(pool_number: int, pool_count: int) -> Iterator[float]:
    """Yield the pauses between a pool's jobs, whose turns come one after another, with rests."""
    at_s = 0.0
    for _ in itertools.count():
        is_turn = int(at_s / TURN_S) % (2 * pool_count) == 2 * pool_number
        pause_s = 1 / (MEAN_JOBS_PER_S * (TURN_TIMES if is_turn else REST_TIMES))
        # A rest ends with the next turn.
        pause_s = min(pause_s, TURN_S)
        yield pause_s
        at_s += pause_s
