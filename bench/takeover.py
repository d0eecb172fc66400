"""Time from the loss of a pool's owner to the first task start by its successor."""

import asyncio
import itertools
import statistics
from collections.abc import Callable
from typing import Final

from tests.lib.job_platforms import (
    POOL,
    get_owner,
    hand_in,
    make_job,
    make_stop_budget,
    start_platform,
    wait_until,
)
from tests.lib.virtual import run_virtual

from bench.result import BenchResult
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin

SEEDS: Final = range(1, 9)
NODES: Final = 5
# Period at which jobs are submitted, so that a task is waiting at any time.
ARRIVAL_PERIOD_S: Final = 0.05
BEFORE_LOSS_S: Final = 1.0
# Short enough that the hosts are never full, so that a start waits only for the owner.
TASK_S: Final = 0.2

# Shorter than the delay of an order to a host, so that no first start is missed.
POLL_S: Final = 0.0005

LoseOwner = Callable[[PlatformStandin, str], object]


def run_takeover() -> BenchResult:
    """Measure the takeover time after each kind of owner failure, once per seed."""
    counts: dict[str, float] = {}
    for name, lose in FAILURES.items():
        took_s = [run_virtual(_measure(lose, seed)) for seed in SEEDS]
        counts[f"{name}_p50_s"] = round(statistics.median(took_s), 3)
        counts[f"{name}_p100_s"] = round(max(took_s), 3)
    return BenchResult("takeover", counts, f"{len(SEEDS)} losses each, {NODES} nodes")


async def _measure(lose: LoseOwner, seed: int) -> float:
    """Return the seconds from the loss of the owner to the first start by another node."""
    platform = await start_platform(_plan_short, nodes=NODES, seed=seed)
    arrivals = asyncio.ensure_future(_submit_periodically(platform))
    # Each seed fails the owner at a different point of its periodic work.
    await asyncio.sleep(BEFORE_LOSS_S + 0.037 * seed)
    previous = get_owner(platform)
    assert previous is not None
    lost_at_s = asyncio.get_running_loop().time()
    lose(platform, previous)
    while not _has_other_owner(platform, previous):
        await asyncio.sleep(POLL_S)
    acquired_at_s = asyncio.get_running_loop().time()
    runs = platform.hosts.ledger.runs
    await wait_until(lambda: any(run.began_at_s >= acquired_at_s for run in runs))
    arrivals.cancel()
    return min(run.began_at_s for run in runs if run.began_at_s >= acquired_at_s) - lost_at_s


def _has_other_owner(platform: PlatformStandin, previous: str) -> bool:
    """Return whether a node other than ``previous`` has the pool open.

    The previous owner may still have it open if it is cut off.
    """
    return any(
        (owner := node.assembled.owned.owners.get(POOL)) is not None and owner.is_open
        for name, node in platform.nodes.items()
        if name != previous
    )


async def _submit_periodically(platform: PlatformStandin) -> None:
    """Submit jobs in round-robin order to the nodes that can reach the store."""
    for number in itertools.count(1):
        lost = platform.cut_nodes | platform.store.faults.refused
        served = [name for name in platform.nodes if name not in lost]
        await hand_in(platform, served[number % len(served)], make_job(number))
        await asyncio.sleep(ARRIVAL_PERIOD_S)


def _plan_short(task: TaskKey) -> TaskPlan:
    return TaskPlan(TASK_S, Resources(1000, 100))


def _stop(platform: PlatformStandin, name: str) -> object:
    return asyncio.ensure_future(
        platform.nodes[name].assembled.node.stop(make_stop_budget(platform))
    )


FAILURES: Final[dict[str, LoseOwner]] = {
    "killed": lambda platform, name: platform.kill_node(name),
    "cut_off": lambda platform, name: platform.cut_node(name),
    "turned_away": lambda platform, name: platform.store.faults.refused.add(name),
    "stopped": _stop,
}
