"""Share of requests that fail while half of the workers fail every task immediately."""

import asyncio
from collections import Counter
from dataclasses import replace

from tests.lib.fleets import SETTINGS, get_daemon, serve, start_fleet
from tests.lib.virtual import run_virtual

from bench.result import BenchResult
from robinthread._internal.results import ResultCode
from robinthread._internal.settings.dispatch_settings import DispatchSettings
from robinthread._internal.standins.fleet_standin import HallSize
from robinthread._internal.standins.worker_standin import WorkerMode

REQUESTS = 3000
RATE_PER_S = 50
NEVER = 10**9
LEAST_LOADED = replace(
    SETTINGS,
    dispatch=DispatchSettings(
        suspend_after_failures=NEVER, set_aside_after_hosts=NEVER, route_by_outcome=False
    ),
    entry=replace(SETTINGS.entry, tries_max=1),
)


def run_black_holes() -> BenchResult:
    """Compare routing by outcome with least-loaded routing without retries."""
    counts = {}
    for name, settings in (("by_outcome", SETTINGS), ("least_loaded", LEAST_LOADED)):
        for is_repeatable in (True, False):
            failed = run_virtual(_run(settings, is_repeatable))
            kind = "repeatable" if is_repeatable else "not_repeatable"
            counts[f"failed_share_{name}_{kind}"] = round(failed / REQUESTS, 4)
    return BenchResult("black_holes", counts)


async def _run(settings: object, is_repeatable: bool) -> int:
    fleet = await start_fleet((HallSize("kandy", 2, 8),), settings=settings, slots=4)  # type: ignore[arg-type]
    for worker in list(fleet.workers.values())[::2]:
        worker.mode = WorkerMode.FAILS_EVERYTHING

    async def call(number: int) -> ResultCode:
        daemon = get_daemon(fleet, number % 2)
        answer = await serve(daemon, number, is_repeatable=is_repeatable, run_s=0.2)
        return answer.code

    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(call(number)))
        await asyncio.sleep(1 / RATE_PER_S)
    codes = Counter(await asyncio.gather(*tasks))
    fleet.close()
    return REQUESTS - codes[ResultCode.RAN]
