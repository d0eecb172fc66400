"""Delays of answers and odd input on a drawn day, beside its troubles.

Their draws are independent of a seed's other ones.
"""

import asyncio
import enum
import random
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from robinthread._internal.standins.host_changes import HostState
from robinthread._internal.standins.job_host_standin import JobHostStandin
from robinthread._internal.standins.platform_standin import HOSTS, OPERATORS, PlatformStandin
from tests.lib.day_troubles import HOSTS_MIN, LEAVES_IN_MS, LEAVES_S
from tests.lib.drawn_findings import Span

# The longest delays that the timeouts of the calls bear: 0.4 s for orders to hosts, 1 s for the
# machines, and 0.3 s for reads of the store by a client that has seen fast responses.
HOSTS_MAX_S = 0.35
MACHINES_MAX_S = 0.5
STORE_MAX_S = 0.1
# Levels at which a recursive decoder ends by an error of its own.
DEPTH = 5_000
# Values in the stand-in's encoding: an unknown field with arrays in arrays, a map of another kind,
# a number that is no finite one, and no value at all.
NESTED = b"\x81\xa5extra" + b"\x91" * DEPTH + b"\x00"
ODD_VALUES = (NESTED, b"\x81\xa1a\x01", b"\xcb\x7f\xf0" + bytes(6), b"\xc1", b"\xff" * 64)
ODD_COUNTS = (1, 5, 200)
LENGTHS_S = (1.0, 4.0)
# Time between the hosts that drain one after another.
SERIES_S = 1.5
# Number of the newest runs by which the busiest host is found.
LATEST = 30


class OddKind(enum.Enum):
    """What is odd, or happens in series."""

    ENTRIES = "odd entries among the hosts'"
    OWN_ENTRY = "the entry of a sound host is odd for some seconds"
    OPERATORS = "odd records among the operators'"
    DRAINS = "hosts drain one after another"


@dataclass(frozen=True)
class DayOddity:
    """Odd input at ``at_s``; before the nodes start if it is negative."""

    at_s: float
    kind: OddKind
    target: int
    for_s: float


@dataclass(frozen=True)
class DayDelays:
    """How long answers of the hosts, the machines and the store take on a day, and its oddities."""

    hosts_s: float
    machines_s: float
    store_s: float
    oddities: tuple[DayOddity, ...]


def draw_delays(seed: int, length_s: float) -> DayDelays:
    """Draw the delays and oddities of a day."""
    drawn = random.Random(f"delays of {seed}")
    return DayDelays(
        drawn.uniform(0, HOSTS_MAX_S),
        drawn.uniform(0, MACHINES_MAX_S),
        drawn.uniform(0, STORE_MAX_S),
        tuple(_iter_oddities(drawn, length_s)),
    )


def _iter_oddities(drawn: random.Random, length_s: float) -> Iterator[DayOddity]:
    for kind in OddKind:
        for _ in range(drawn.choice((1, 2, 4))):
            at_s = drawn.uniform(0, length_s)
            yield DayOddity(at_s, kind, drawn.randrange(1000), drawn.uniform(*LENGTHS_S))


def set_delays(platform: PlatformStandin, delays: DayDelays) -> None:
    """Set how long answers take from now on."""
    platform.hosts.faults.set_ordinary_latency(delays.hosts_s)
    platform.machines.faults.set_ordinary_latency(delays.machines_s)
    platform.store.faults.set_ordinary_latency(delays.store_s)


async def play_oddities(platform: PlatformStandin, oddities: Iterable[DayOddity]) -> list[Span]:
    """Apply the oddities at their times; return the spans in which hosts were lost."""
    spans = await asyncio.gather(*(_play(platform, oddity) for oddity in oddities))
    return [span for each in spans for span in each]


async def _play(platform: PlatformStandin, oddity: DayOddity) -> list[Span]:
    await asyncio.sleep(oddity.at_s)
    value = ODD_VALUES[oddity.target % len(ODD_VALUES)]
    match oddity.kind:
        case OddKind.ENTRIES:
            for number in range(ODD_COUNTS[oddity.target % len(ODD_COUNTS)]):
                platform.store.put(HOSTS, f"odd-{oddity.target}-{number}", value)
        case OddKind.OPERATORS:
            for key in ("wave/9", "evacuate/odd", "odd"):
                platform.store.put(OPERATORS, key, value)
        case OddKind.OWN_ENTRY:
            return await _change_own_entry(platform, oddity, value)
        case OddKind.DRAINS:
            return await _drain_in_series(platform, oddity)
    return []


async def _change_own_entry(
    platform: PlatformStandin, oddity: DayOddity, value: bytes
) -> list[Span]:
    ready = _list_ready(platform)
    if not ready:
        return []
    host, began_at_s = ready[oddity.target % len(ready)], asyncio.get_running_loop().time()
    platform.host_changes.record(host.record, HostState.ODD)
    platform.store.put(HOSTS, host.record.id, value)
    await asyncio.sleep(oddity.for_s)
    if host.is_up and platform.host_changes.get_state(host.record.id) is HostState.ODD:
        platform.list_host(host.record)
    return [(began_at_s, asyncio.get_running_loop().time())]


async def _drain_in_series(platform: PlatformStandin, oddity: DayOddity) -> list[Span]:
    """Drain hosts one after another, each of which ends and is replaced."""
    loop, leaving = asyncio.get_running_loop(), []
    for _ in range(1 + oddity.target % 3):
        if len(ready := _list_ready(platform)) > HOSTS_MIN:
            host = ready[oddity.target % len(ready)]
            draining = replace(host.record, is_draining=True, leaves_in_ms=LEAVES_IN_MS)
            platform.list_host(draining)
            leaving.append(asyncio.create_task(_end_host(platform, host, oddity.for_s)))
        await asyncio.sleep(SERIES_S)
    await asyncio.gather(*leaving)
    return [(loop.time() - oddity.for_s, loop.time())] * bool(leaving)


async def _end_host(platform: PlatformStandin, host: JobHostStandin, for_s: float) -> None:
    await asyncio.sleep(LEAVES_S)
    if host.is_up:
        platform.crash_host(host.record.id)
    await asyncio.sleep(for_s)
    platform.machines.restart(host.record.id)


def _list_ready(platform: PlatformStandin) -> list[JobHostStandin]:
    return [
        host
        for host in platform.hosts.hosts.values()
        if host.is_up and platform.host_changes.get_state(host.record.id) is HostState.READY
    ]


def drain_busiest(platform: PlatformStandin) -> None:
    """Let the ready host on which most runs have begun lately drain; it serves on."""
    ready = {host.record.id: host.record for host in _list_ready(platform)}
    latest = [run.host_id for run in platform.hosts.ledger.runs if run.host_id in ready][-LATEST:]
    if latest:
        busiest = ready[Counter(latest).most_common(1)[0][0]]
        platform.list_host(replace(busiest, is_draining=True, leaves_in_ms=LEAVES_IN_MS))
