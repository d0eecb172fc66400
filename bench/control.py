"""Costs of the control plane: peer traffic, log appends, claims, snapshots, imports."""

import asyncio
import subprocess
import sys
import tracemalloc
from dataclasses import replace

from tests.lib.fleets import SETTINGS, get_daemon, serve, start_fleet
from tests.lib.virtual import run_virtual

from bench.result import BenchResult
from robinthread._internal.claims.claim import Claim, make_key
from robinthread._internal.claims.records import (
    ClaimBatch,
    decode_partition_record,
    encode_partition_record,
)
from robinthread._internal.claims.table import ClaimTable
from robinthread._internal.fold.folder import Folder, FolderImage
from robinthread._internal.fold.kinds.config_published import ConfigPublished
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host import Host
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.models.pool import Pool
from robinthread._internal.results import ResultCode
from robinthread._internal.snapshots.snapshot import encode_snapshot
from robinthread._internal.standins.fleet_standin import FleetStandin, HallSize

IDLE_S = 30.0
CLAIMS = 20_000
CONCURRENCIES = (1, 8, 64, 256)
REQUESTS_A_CONCURRENCY = 1024
TARGET_HOSTS = 3200
TARGET_POOLS = 144
SIZES = ((2, 2), (4, 2), (4, 8), (16, 8))


def run_control() -> BenchResult:
    """Measure the costs of the control plane as counts."""
    counts: dict[str, float] = {}
    for halls, daemons in SIZES:
        sent, appends = run_virtual(_measure_idle(halls, daemons))
        counts[f"peer_bytes_a_s_{halls}x{daemons}"] = sent
        counts[f"idle_appends_a_s_{halls}x{daemons}"] = appends
    counts["in_force_p100_s_16x8"] = run_virtual(_measure_in_force())
    for concurrency in CONCURRENCIES:
        counts[f"appends_a_claim_at_{concurrency}"] = run_virtual(_measure_appends(concurrency))
    counts["bytes_a_claim_in_memory"] = _measure_claim_memory()
    counts["bytes_a_claim_in_log"] = _measure_claim_bytes()
    for hosts, pools in ((100, 5), (TARGET_HOSTS, TARGET_POOLS)):
        counts[f"snapshot_bytes_{hosts}_hosts"] = len(
            encode_snapshot(make_full_image(hosts, pools))
        )
    counts["modules_imported_by_daemon"] = _count_imports()
    return BenchResult("control", counts)


def make_full_image(hosts: int, pools: int) -> FolderImage:
    """Return the folder's image of a fleet with this many hosts and pools."""
    made = (
        Host(
            f"hall-{number % 16:02d}-host-{number:04d}",
            f"hall-{number % 16:02d}",
            f"rack-{number // 8}",
            f"10.{number // 250}.{number % 250}.1:8080",
            8,
            64,
            2,
            f"pool-{number % pools:03d}",
            HostPhase.SERVING,
            token=number,
        )
        for number in range(hosts)
    )
    state = FleetState(
        hosts + pools,
        {f"pool-{n:03d}": Pool(f"pool-{n:03d}", Budget(1)) for n in range(pools)},
        {host.name: host for host in made},
    )
    return Folder(FolderImage(state, ())).make_image()


async def _measure_idle(halls: int, daemons: int) -> tuple[float, float]:
    """Return bytes/s that a daemon sends to peers, and appends/s to the log, in an idle fleet."""
    sizes = tuple(HallSize(f"h{number:02d}", daemons, 1) for number in range(halls))
    fleet = FleetStandin(sizes, 1, settings=SETTINGS)
    await fleet.start()
    await asyncio.sleep(5.0)
    bytes_before, appends_before = fleet.network.bytes_count, fleet.log.appends_count
    await asyncio.sleep(IDLE_S)
    sent = (fleet.network.bytes_count - bytes_before) / IDLE_S / (halls * daemons)
    appends = (fleet.log.appends_count - appends_before) / IDLE_S
    fleet.close()
    return round(sent, 1), round(appends, 2)


async def _measure_in_force() -> float:
    """Return the longest time in seconds from publishing a change until all daemons applied it."""
    sizes = tuple(HallSize(f"h{number:02d}", 8, 1) for number in range(16))
    fleet = FleetStandin(sizes, 1, settings=SETTINGS)
    await fleet.start()
    fleet.log.faults = replace(fleet.log.faults, delay_s=0.05, lost_reply_share=0.2)
    loop = asyncio.get_running_loop()
    longest_s = 0.0
    for number in range(20):
        started_at_s = loop.time()
        daemon = get_daemon(fleet, number)
        result = await daemon.publish(ConfigPublished(f"c{number}", "x", 0))
        offset = result.unwrap().offset
        await asyncio.gather(
            *(each.follower.wait_for_offset(offset) for each in fleet.daemons.values())
        )
        longest_s = max(longest_s, loop.time() - started_at_s)
    fleet.close()
    return round(longest_s, 3)


async def _measure_appends(concurrency: int) -> float:
    """Return the number of claim appends per request, for requests that must not be repeated."""
    claims = replace(SETTINGS.claims, claim_appends_per_s=200.0)
    fleet = await start_fleet(settings=replace(SETTINGS, claims=claims), slots=64)
    fleet.log.faults = replace(fleet.log.faults, delay_s=0.005)
    before = fleet.count("claim_appends")
    numbers = iter(range(REQUESTS_A_CONCURRENCY))

    async def lane() -> None:
        for number in numbers:
            answer = await serve(get_daemon(fleet, number % 4), number, run_s=0.01)
            if answer.code is not ResultCode.RAN:
                raise RuntimeError(answer.code.name)

    await asyncio.gather(*(lane() for _ in range(concurrency)))
    appends = fleet.count("claim_appends") - before
    fleet.close()
    return round(appends / REQUESTS_A_CONCURRENCY, 3)


def _make_claims(count: int) -> tuple[Claim, ...]:
    return tuple(
        Claim(make_key("caller", f"r{n}"), b"12345678", 1.8e9 + n, "entry-01", "0" * 16, n)
        for n in range(count)
    )


def _measure_claim_memory() -> float:
    """Return the bytes of memory per claim in a table, decoded from the log as in production."""
    data = encode_partition_record(ClaimBatch("b", -1, _make_claims(CLAIMS)))
    table = ClaimTable()
    tracemalloc.start()
    table.apply(0, decode_partition_record(data))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(held / CLAIMS)


def _measure_claim_bytes() -> float:

    batch = ClaimBatch("0" * 16, 1, _make_claims(64))
    return round(len(encode_partition_record(batch)) / 64, 1)


def _count_imports() -> int:
    code = (
        "import sys, robinthread._internal.commands.daemon as d;"
        "print(sum(m.split('.')[0] == 'robinthread' for m in sys.modules))"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return int(found.stdout)
