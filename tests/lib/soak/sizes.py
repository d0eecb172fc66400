"""Jobs over the platform's limits during a soak, with outages of the store and routes that leave.

Their draws are independent of a seed's other ones.
"""

import asyncio
import json
import random
import time
from dataclasses import dataclass

from tests.lib.drawn_findings import Span, draw_spans, refuse_calls
from tests.lib.soak.callers import Caller
from tests.lib.soak.world import SMALL_JOB_PREFIX, SoakWorld

# More tasks than a host lists ends, and than one part of a job's progress has.
WIDE_TASKS = 900
TIMED_TASKS = 60
TIMES = 8
# Steps of a job whose body and record are large; each has one task.
STEPS = 300
TEXT = "x" * 3_900
SPAN_S = (1.0, 5.0)
# Length of a path that no key of a record can hold.
LONG_PATH = "f" * 300
SMALL_STEP = {"cpu": 10, "mem_mb": 10, "estimate_ms": 300}


@dataclass(frozen=True)
class SoakSizes:
    """Moments at which large jobs come, and spans of outages, in seconds of the day."""

    jobs_at_s: tuple[float, ...]
    store_down: tuple[Span, ...]
    route_gone: tuple[Span, ...]


def draw_sizes(seed: int, length_s: float) -> SoakSizes | None:
    """Draw for two of three seeds, which is None for the others."""
    drawn = random.Random(f"sizes of {seed}")
    if drawn.random() < 1 / 3:
        return None
    return SoakSizes(
        tuple(drawn.uniform(0, length_s / 2) for _ in range(3)),
        tuple(draw_spans(drawn, length_s, SPAN_S)),
        tuple(draw_spans(drawn, length_s, SPAN_S)),
    )


async def play_sizes(world: SoakWorld, caller: Caller, sizes: SoakSizes | None) -> None:
    """Hand the large jobs in, and bring the outages about."""
    if sizes is None:
        return
    bodies = (_make_wide_body(), _make_timed_body(), _make_long_body())
    await asyncio.gather(
        _hand_in_all(caller, list(zip(sorted(sizes.jobs_at_s), bodies, strict=True))),
        *(refuse_calls(world.store, span) for span in sizes.store_down),
        *(_remove_route(world, span) for span in sizes.route_gone),
    )


async def _hand_in_all(caller: Caller, jobs: list[tuple[float, str]]) -> None:
    began_at_s = asyncio.get_running_loop().time()
    for number, (at_s, body) in enumerate(jobs):
        await asyncio.sleep(max(0.0, began_at_s + at_s - asyncio.get_running_loop().time()))
        await caller.hand_in(f"{SMALL_JOB_PREFIX}{number:08x}", body)
        await caller.cancel(LONG_PATH)


async def _remove_route(world: SoakWorld, span: Span) -> None:
    await asyncio.sleep(span[0])
    world.publish_config(has_route=False)
    await asyncio.sleep(span[1] - span[0])
    world.publish_config(has_route=True)


def _make_wide_body() -> str:
    return json.dumps({"spec": TEXT, "steps": [{"count": WIDE_TASKS} | SMALL_STEP]})


def _make_timed_body() -> str:
    times = {"max_runs": TIMES, "interval_ms": 1000, "start_at_ms": int(time.time() * 1000)}
    return json.dumps({"spec": TEXT, "steps": [{"count": TIMED_TASKS} | SMALL_STEP]} | times)


def _make_long_body() -> str:
    steps = [{"count": 1, "image": "i" * 200} | SMALL_STEP for _ in range(STEPS)]
    return json.dumps({"spec": TEXT, "steps": steps})
