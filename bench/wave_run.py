"""A maintenance wave over a whole deployment under load, with or without failures."""

import asyncio
import math
import random
from collections import Counter
from dataclasses import dataclass, replace

from tests.lib.fleets import get_daemon, make_request, publish, wait_until

from bench.deployments import (
    FLOOR,
    HOSTS_A_POOL,
    HOSTS_A_RACK,
    POOLS,
    REBOOT_S,
    SLOTS,
    Deployment,
)
from bench.failures import (
    cause_in_pairs,
    make_hall_cut,
    make_kill,
    make_log_outage,
    make_lost_replies,
    make_worker_failure,
)
from robinthread._internal.fold.folder import Folder
from robinthread._internal.fold.kinds.host_assigned import HostAssigned
from robinthread._internal.fold.kinds.pool_created import PoolCreated
from robinthread._internal.fold.kinds.wave_created import WaveCreated
from robinthread._internal.follow.publisher import FLEET_STREAM
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.wave import WaveKind, WaveState
from robinthread._internal.results import ResultCode
from robinthread._internal.standins.fleet_standin import FleetStandin, HallSize
from robinthread._internal.standins.worker_standin import WorkerMode

LOAD_SHARE = 0.5
RUN_TIMES_S = (5.0, 10.0, 20.0, 60.0, 240.0)
RUN_WEIGHTS = (30, 30, 25, 10, 5)
WARM_UP_S = 60.0
WAVE_LIMIT_S = 30_000.0
OWN_ACTS = frozenset({"drain_permitted", "drain_started", "host_drained", "host_set_aside"})


CAUSES = (
    make_worker_failure((WorkerMode.DOWN,), 5.0, 120.0),
    make_kill(1.0, 30.0),
    make_log_outage(1.0, 40.0),
    make_lost_replies(0.1, 5.0, 30.0),
    make_hall_cut(5.0, 60.0),
)


@dataclass(frozen=True)
class WaveFigures:
    """Three measures of a wave, their lower bounds, and the number of violated guarantees.

    A task moves only after it has run longer than the allowed wait, so the lower bound on
    moves is the number of tasks that moved at least once.
    """

    rollout_s: float
    rollout_bound_s: float
    buffer_slot_s: float
    buffer_bound_slot_s: float
    moves: int
    moves_bound: int
    budgets_broken: int
    requests_cut: int
    requests_failed: int
    requests: int


async def run_wave(
    deployment: Deployment, seed: int, with_failures: bool = False, pools: tuple[str, ...] = POOLS
) -> WaveFigures:
    """Run a wave over every host of the deployment."""
    fleet = await _start(deployment, seed, pools)
    daemon = get_daemon(fleet)
    tally = _Tally()
    load = asyncio.create_task(_serve_load(fleet, random.Random(f"load-{seed}"), pools, tally))
    await asyncio.sleep(WARM_UP_S)
    causes = random.Random(f"fail-{seed}")
    pause_s = (20.0, 90.0) if with_failures else (WAVE_LIMIT_S, WAVE_LIMIT_S)
    chaos = asyncio.create_task(cause_in_pairs(fleet, causes, CAUSES, *pause_s))
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    names = tuple(sorted(daemon.state.hosts))
    await publish(daemon, WaveCreated("w", "kernel", WaveKind.REBOOT, names))
    await wait_until(lambda: _is_done(fleet), WAVE_LIMIT_S)
    rollout_s = loop.time() - started_at_s
    chaos.cancel()
    load.cancel()
    figures = WaveFigures(
        round(rollout_s, 1),
        math.ceil(HOSTS_A_POOL / (HOSTS_A_POOL - FLOOR)) * REBOOT_S,
        round(sum(each.measures.buffer_slot_s for each in fleet.daemons.values()), 1),
        len(names) * SLOTS * REBOOT_S,
        sum(fleet.ledger.checkpointed.values()),
        len(fleet.ledger.checkpointed),
        await count_broken_budgets(fleet),
        fleet.ledger.cut_short_count,
        tally.failed,
        tally.sent,
    )
    fleet.close()
    return figures


@dataclass
class _Tally:
    sent: int = 0
    failed: int = 0


async def _start(deployment: Deployment, seed: int, pools: tuple[str, ...]) -> FleetStandin:
    racks = [(pool, part) for pool in pools for part in range(HOSTS_A_POOL // HOSTS_A_RACK)]
    halls = deployment.halls
    racks_in = Counter(halls[index % len(halls)] for index in range(len(racks)))
    sizes = tuple(HallSize(hall, 2, racks_in[hall] * HOSTS_A_RACK) for hall in halls)
    fleet = FleetStandin(
        sizes, seed, SLOTS, deployment.settings, deployment.delay_s, hosts_per_rack=HOSTS_A_RACK
    )
    for worker in fleet.workers.values():
        worker.reboot_s = REBOOT_S
    await fleet.start()
    daemon = get_daemon(fleet)
    await wait_until(lambda: len(daemon.state.hosts) == len(fleet.workers))
    for pool in pools:
        await publish(daemon, PoolCreated(pool, Budget(min_serving_hosts=FLOOR)))
    free = {
        hall: sorted(n for n, h in daemon.state.hosts.items() if h.hall == hall) for hall in halls
    }
    for index, (pool, _) in enumerate(racks):
        hall = halls[index % len(halls)]
        for _ in range(HOSTS_A_RACK):
            await publish(daemon, HostAssigned(free[hall].pop(0), pool))
    return fleet


def _is_done(fleet: FleetStandin) -> bool:
    states = [daemon.state.waves.get("w") for daemon in fleet.daemons.values()]
    return any(wave is not None and wave.state is WaveState.DONE for wave in states)


async def _serve_load(
    fleet: FleetStandin, choices: random.Random, pools: tuple[str, ...], tally: _Tally
) -> None:
    """Send requests that keep about ``LOAD_SHARE`` of the slots busy, until cancelled."""
    mean_s = sum(t * w for t, w in zip(RUN_TIMES_S, RUN_WEIGHTS, strict=True)) / sum(RUN_WEIGHTS)
    rate_per_s = LOAD_SHARE * len(pools) * HOSTS_A_POOL * SLOTS / mean_s
    calls: set[asyncio.Task[None]] = set()
    number = 0
    while True:
        await asyncio.sleep(choices.expovariate(rate_per_s))
        number += 1
        task = asyncio.create_task(_call(fleet, number, choices, pools, tally))
        calls.add(task)
        task.add_done_callback(calls.discard)


async def _call(
    fleet: FleetStandin,
    number: int,
    choices: random.Random,
    pools: tuple[str, ...],
    tally: _Tally,
) -> None:
    run_s = choices.choices(RUN_TIMES_S, RUN_WEIGHTS)[0]
    pool = choices.choice(pools)
    name = choices.choice(sorted(fleet.daemons))
    request = replace(
        make_request(
            fleet.daemons[name], number, run_s=run_s, left_s=3000.0, is_repeatable=number % 4 != 0
        ),
        pool=pool,
    )
    tally.sent += 1
    try:
        answer = await fleet.call(name, request)
    except ConnectionError:
        return
    if answer.code is not ResultCode.RAN:
        tally.failed += 1


async def count_broken_budgets(fleet: FleetStandin) -> int:
    """Replay the whole log; return how many records in ``OWN_ACTS`` violated a pool's budget."""
    fleet.log.faults = replace(fleet.log.faults, is_out=False, delay_s=0.0)
    folder = Folder()
    page = await fleet.log.read(FLEET_STREAM, 0, 1 << 30, 0.0)
    broken = 0
    for record in page.records:
        before = _list_held(folder.state)
        folded = folder.fold_record(record.offset, record.data)
        after = _list_held(folder.state)
        is_own = any(step.kind in OWN_ACTS and step.code is ResultCode.OK for step in folded)
        broken += is_own and any(
            held and not after.get(pool, True) for pool, held in before.items()
        )
    return broken


def _list_held(state: FleetState) -> dict[str, bool]:
    return {
        pool.name: pool.budget.is_met_by(state.iter_pool_hosts(pool.name))
        for pool in state.pools.values()
    }
