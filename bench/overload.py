"""Goodput under loads from half to four times the capacity of the workers."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, replace

from tests.lib.fleets import SETTINGS, get_daemon, make_request, start_fleet
from tests.lib.virtual import run_virtual

from bench.result import BenchResult
from robinthread._internal.models.urgency import Urgency
from robinthread._internal.results import ResultCode
from robinthread._internal.standins.fleet_standin import FleetStandin, HallSize
from robinthread._internal.standins.job import Job, encode_job

HALLS = (HallSize("kandy", 2, 4), HallSize("matale", 2, 4))
SLOTS = 2
RUN_S = 0.1
DEADLINE_S = 1.0
SECONDS = 20
SAMPLE_S = 0.01


@dataclass(frozen=True)
class Load:
    """A load, as a share of the capacity, and the share of its requests sent to the first hall."""

    capacity_share: float
    first_hall_share: float = 0.5


def run_overload() -> BenchResult:
    """Measure goodput at four loads, and the share of idle slots under a skewed load."""
    goodput = {share: run_virtual(_run(Load(share))) for share in (0.5, 1.0, 2.0, 4.0)}
    skewed = run_virtual(_run(Load(0.9, 0.95)))
    counts = {
        f"goodput_at_{int(share * 100)}_percent": found["ran"] for share, found in goodput.items()
    }
    at_full, at_four = goodput[1.0]["ran"], goodput[4.0]["ran"]
    return BenchResult(
        "overload",
        {
            **counts,
            "goodput_kept_at_400_percent": round(at_four / at_full, 3),
            "started_after_deadline": sum(found["late"] for found in goodput.values()),
            "idle_while_waiting_share_skewed": skewed["idle_share"],
            "ran_share_skewed": round(skewed["ran"] / skewed["sent"], 3),
            "messages_a_request_at_400_percent": round(
                goodput[4.0]["frames"] / goodput[4.0]["sent"], 2
            ),
        },
    )


async def _run(load: Load) -> dict[str, float]:
    fleet = await start_fleet(HALLS, slots=SLOTS, settings=SETTINGS)
    capacity_per_s = len(fleet.workers) * SLOTS / RUN_S
    rate_per_s = capacity_per_s * load.capacity_share
    choices = random.Random(7)
    idle = IdleTally()
    sampler = asyncio.create_task(_sample_idle(fleet, idle))
    frames_before = fleet.network.frames_count
    tasks = []
    for number in range(int(rate_per_s * SECONDS)):
        tasks.append(asyncio.create_task(_call(fleet, number, load, choices)))
        await asyncio.sleep(1 / rate_per_s)
    codes = Counter(await asyncio.gather(*tasks))
    frames = fleet.network.frames_count - frames_before
    sampler.cancel()
    fleet.close()
    return {
        "ran": codes[ResultCode.RAN],
        "sent": len(tasks),
        "late": fleet.ledger.started_after_deadline_count,
        "idle_share": round(idle.idle_slots / max(1, idle.all_slots), 4),
        "frames": frames,
    }


@dataclass
class IdleTally:
    """Sampled slots: the number idle while a request waited elsewhere, and the total."""

    idle_slots: int = 0
    all_slots: int = 0


async def _sample_idle(fleet: FleetStandin, tally: IdleTally) -> None:
    """Sample the slots every ``SAMPLE_S``; count those idle while a request waits elsewhere."""
    total = len(fleet.workers) * SLOTS
    while True:
        await asyncio.sleep(SAMPLE_S)
        dispatchers = [
            dispatcher
            for daemon in fleet.daemons.values()
            for dispatcher in daemon.dispatch.dispatchers.values()
        ]
        waiting = sum(len(dispatcher.queue) for dispatcher in dispatchers)
        idle = sum(dispatcher.count_idle_slots() for dispatcher in dispatchers)
        tally.idle_slots += min(waiting, idle)
        tally.all_slots += total


async def _call(fleet: FleetStandin, number: int, load: Load, choices: random.Random) -> ResultCode:
    hall = "kandy" if choices.random() < load.first_hall_share else "matale"
    daemon = fleet.daemons[f"{hall}-d{number % 2}"]
    request = make_request(
        get_daemon(fleet),
        number,
        is_repeatable=True,
        left_s=DEADLINE_S,
        urgency=Urgency.NORMAL,
    )
    job = Job(RUN_S, payload=str(number), deadline_at_s=request.deadline_at_s)
    answer = await daemon.entry.serve(replace(request, body=encode_job(job)))
    return answer.code
