"""Waiting time of urgent requests in a pool full of long background requests."""

import asyncio
from collections import Counter

from tests.lib.fleets import SETTINGS, get_daemon, serve, start_fleet
from tests.lib.virtual import run_virtual

from bench.result import BenchResult
from robinthread._internal.models.urgency import Urgency
from robinthread._internal.results import ResultCode
from robinthread._internal.standins.fleet_standin import FleetStandin, HallSize

SLOTS = 4
HOSTS = 4
BACKGROUND_S = 600.0
URGENT_RUN_S = 1.0
URGENT_COUNT = 64


def run_urgent() -> BenchResult:
    """Measure the longest wait of urgent requests, with and without checkpointing workers."""
    with_checkpoint = run_virtual(_run(can_checkpoint=True))
    without = run_virtual(_run(can_checkpoint=False))
    return BenchResult(
        "urgent",
        {
            "wait_p100_s": with_checkpoint["wait_s"],
            "wait_p100_s_no_checkpoint": without["wait_s"],
            "urgent_ran": with_checkpoint["urgent_ran"] + without["urgent_ran"],
            "background_ran": with_checkpoint["background_ran"] + without["background_ran"],
            "background_work_repeated": with_checkpoint["restarted"],
        },
        "bound for urgent waits: 9.3 s",
    )


async def _run(can_checkpoint: bool) -> dict[str, float]:
    halls = (HallSize("kandy", 2, HOSTS),)
    fleet = await start_fleet(halls, slots=SLOTS, settings=SETTINGS)
    for worker in fleet.workers.values():
        worker.can_checkpoint = can_checkpoint
    background = [
        asyncio.create_task(
            serve(
                get_daemon(fleet, number % 2),
                f"b{number}",
                urgency=Urgency.BACKGROUND,
                is_repeatable=True,
                run_s=BACKGROUND_S,
                left_s=10 * BACKGROUND_S,
            )
        )
        for number in range(2 * SLOTS * HOSTS)
    ]
    await asyncio.sleep(5.0)
    waits = await asyncio.gather(*(_call_urgent(fleet, n) for n in range(URGENT_COUNT)))
    codes = Counter(answer.code for answer in await asyncio.gather(*background))
    starts = fleet.ledger.started
    restarted = sum(starts.values()) - len(starts)
    fleet.close()
    return {
        "wait_s": round(max(waits), 3),
        "urgent_ran": sum(wait_s < 1e9 for wait_s in waits),
        "background_ran": codes[ResultCode.RAN],
        "restarted": restarted,
    }


async def _call_urgent(fleet: FleetStandin, number: int) -> float:
    """Return the virtual seconds that an urgent request waited for its start, 1e9 if it failed."""
    await asyncio.sleep(number * 0.5)
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    answer = await serve(
        get_daemon(fleet, number % 2),
        f"u{number}",
        urgency=Urgency.URGENT,
        run_s=URGENT_RUN_S,
        left_s=60.0,
    )
    if answer.code is not ResultCode.RAN:
        return 1e9
    return loop.time() - started_at_s - URGENT_RUN_S
