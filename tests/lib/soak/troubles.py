"""Faults that a soak injects into processes and connections, generated before the run."""

import asyncio
import enum
import random
import signal
from collections.abc import Iterator
from dataclasses import dataclass

from tests.lib.soak.node_process import NodeProcess
from tests.lib.soak.proxy import Direction, LoopbackProxy
from tests.lib.soak.world import SoakWorld

# Time between the end of a killed or stopped process and its restart.
RESTART_DELAY_S = 0.5
ROLL_GAP_S = 1.0
# A process that was started gets SIGHUP within this time.
RELOAD_WITHIN_S = 1.0
# One range is shorter than the leases of 4 s; the other reaches beyond the longest time for
# which an owner continues without the store.
LENGTHS_S = ((0.2, 3.0), (3.0, 9.0))
DELAY_S = 0.25
CLOCK_STEP_S = 4.0
SLOW_TIMES = 50.0
LOST_SHARE = 0.3
LATE_S = (0.0, 1.0)


class SoakKind(enum.Enum):
    """The kind of a fault."""

    KILL = "kill a node"
    KILL_ALL = "kill all nodes"
    STOP = "stop a node as planned"
    ROLL = "stop all nodes as planned, one after another"
    PAUSE = "pause a node"
    RELOAD = "have a node reload its settings"
    CLOCK = "step a node's wall clock"
    STORE_DELAYED = "delay traffic between a node and the store"
    STORE_RESET = "reset a node's connections to the store"
    STORE_HELD = "hold traffic between a node and the store"
    STORE_ONE_WAY = "hold responses of the store to a node"
    STORE_SLOW = "slow the store down"
    STORE_LOSES = "lose responses of the store"
    MACHINES_HELD = "hold traffic between a node and the machines"
    HOST_DELAYED = "delay traffic to and from a host"
    HOST_RESET = "reset connections to a host"
    HOST_HELD = "hold traffic to and from a host"
    HOST_ONE_WAY = "hold responses of a host"
    HOST_CRASH = "crash a host"


@dataclass(frozen=True)
class SoakTrouble:
    """One fault; ``target`` modulo the number of nodes or hosts selects which one is affected."""

    at_s: float
    kind: SoakKind
    target: int
    for_s: float


def draw_troubles(drawn: random.Random, length_s: float, count: int) -> Iterator[SoakTrouble]:
    """Yield ``count`` random faults that may overlap, some as a series of three of one kind."""
    for _ in range(count):
        kind, at_s = drawn.choice(list(SoakKind)), drawn.uniform(0, length_s)
        for _ in range(drawn.choice((1, 1, 3))):
            for_s = drawn.uniform(*drawn.choice(LENGTHS_S))
            yield SoakTrouble(at_s, kind, drawn.randrange(1000), for_s)
            at_s += drawn.uniform(0.1, 1.5)


async def apply_trouble(world: SoakWorld, nodes: list[NodeProcess], trouble: SoakTrouble) -> None:
    """Wait until the start time of the trouble, apply it and end it after its duration."""
    await asyncio.sleep(trouble.at_s)
    node = nodes[trouble.target % len(nodes)]
    match trouble.kind:
        case SoakKind.KILL:
            await _restart(node, trouble.for_s, is_planned=False)
        case SoakKind.KILL_ALL:
            restarts = (_restart(each, trouble.for_s, is_planned=False) for each in nodes)
            await asyncio.gather(*restarts)
        case SoakKind.STOP:
            await _restart(node, trouble.for_s, is_planned=True)
        case SoakKind.ROLL:
            for each in nodes:
                await _restart(each, trouble.for_s, is_planned=True)
                await asyncio.sleep(ROLL_GAP_S)
        case SoakKind.PAUSE:
            await _pause(node, trouble.for_s)
        case SoakKind.RELOAD:
            if node.is_up:
                node.signal(signal.SIGHUP)
        case SoakKind.CLOCK:
            node.step_clock(CLOCK_STEP_S if trouble.target % 2 else -CLOCK_STEP_S)
            await asyncio.sleep(trouble.for_s)
            node.step_clock(0.0)
        case SoakKind.STORE_SLOW | SoakKind.STORE_LOSES:
            await _disturb_store(world, trouble)
        case SoakKind.HOST_CRASH:
            up = [host for host in world.hosts.hosts.values() if host.is_up]
            if up:
                world.crash_and_replace_host(up[trouble.target % len(up)].record.id)
        case _:
            await _disturb_connection(_pick_proxy(world, node, trouble), trouble)


def _pick_proxy(world: SoakWorld, node: NodeProcess, trouble: SoakTrouble) -> LoopbackProxy:
    if trouble.kind.name.startswith("HOST"):
        proxies = list(world.host_proxies.values())
        return proxies[trouble.target % len(proxies)]
    return node.machines if trouble.kind is SoakKind.MACHINES_HELD else node.store


async def _restart(node: NodeProcess, for_s: float, *, is_planned: bool) -> None:
    """Restart a process, and have it reload its settings at a moment of its start."""
    if node.is_stopping:
        return
    await (node.stop() if is_planned else node.kill())
    await asyncio.sleep(RESTART_DELAY_S)
    await node.start()
    await asyncio.sleep(for_s % RELOAD_WITHIN_S)
    if node.is_up:
        node.signal(signal.SIGHUP)


async def _pause(node: NodeProcess, for_s: float) -> None:
    """Pause a process; planned stops are skipped meanwhile, as a paused process would be late."""
    if not node.is_up:
        return
    node.is_paused = True
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    node.signal(signal.SIGCONT)
    node.is_paused = False


async def _disturb_store(world: SoakWorld, trouble: SoakTrouble) -> None:
    faults = world.store.faults
    if trouble.kind is SoakKind.STORE_SLOW:
        faults.latency_s *= SLOW_TIMES
        await asyncio.sleep(trouble.for_s)
        faults.latency_s /= SLOW_TIMES
    else:
        faults.lost_share, faults.late_s = LOST_SHARE, LATE_S
        await asyncio.sleep(trouble.for_s)
        faults.lost_share = 0.0


async def _disturb_connection(proxy: LoopbackProxy, trouble: SoakTrouble) -> None:
    name = trouble.kind.name
    if name.endswith("RESET"):
        proxy.reset()
        return
    if name.endswith("DELAYED"):
        proxy.delay_s = DELAY_S
    else:
        proxy.hold(*((Direction.BACK,) if name.endswith("ONE_WAY") else Direction))
    await asyncio.sleep(trouble.for_s)
    proxy.delay_s = 0.0
    proxy.release()
