"""Troubles of a day, brought about on the platform's stand-in."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final, TypeVar

from robinthread._internal.experiments.deployment import TroubleKind, TroubleSpec
from robinthread._internal.standins.platform_standin import PlatformStandin

EVERYBODY: Final = "*"

StartNode = Callable[[PlatformStandin, str], None]
T = TypeVar("T")


async def bring_about(
    platform: PlatformStandin, trouble: TroubleSpec, drawn: random.Random, start_node: StartNode
) -> None:
    """Bring a trouble about at its time, and end it."""
    await asyncio.sleep(trouble.at_s)
    match TroubleKind(trouble.kind):
        case TroubleKind.KILL_NODES:
            await _kill_nodes(platform, trouble, drawn, start_node)
        case TroubleKind.CUT_NODES:
            await _cut_nodes(platform, trouble, drawn)
        case TroubleKind.CRASH_HOSTS:
            _crash_hosts(platform, trouble, drawn)
        case TroubleKind.SLOW_STORE:
            await _slow_store(platform, trouble)
        case TroubleKind.STORE_AWAY:
            await _turn_all_away(platform, trouble)


def _pick(found: Sequence[T], trouble: TroubleSpec, drawn: random.Random) -> list[T]:
    """Pick a share of what may be struck, one at least."""
    return drawn.sample(found, min(len(found), max(1, round(trouble.share * len(found)))))


async def _kill_nodes(
    platform: PlatformStandin, trouble: TroubleSpec, drawn: random.Random, start_node: StartNode
) -> None:
    names = _pick(sorted(platform.nodes), trouble, drawn)
    for name in names:
        platform.kill_node(name)
    await asyncio.sleep(trouble.for_s)
    for name in names:
        if name not in platform.nodes:
            start_node(platform, name)


async def _cut_nodes(platform: PlatformStandin, trouble: TroubleSpec, drawn: random.Random) -> None:
    names = _pick(sorted(platform.nodes), trouble, drawn)
    for name in names:
        platform.cut_node(name)
    await asyncio.sleep(trouble.for_s)
    for name in names:
        platform.heal_node(name)


def _crash_hosts(platform: PlatformStandin, trouble: TroubleSpec, drawn: random.Random) -> None:
    platform.host_replacement_s = trouble.for_s
    up = [host.record.id for host in platform.hosts.hosts.values() if host.is_up]
    for host_id in _pick(up, trouble, drawn):
        platform.crash_and_replace_host(host_id)


async def _slow_store(platform: PlatformStandin, trouble: TroubleSpec) -> None:
    faults = platform.store.faults
    faults.latency_s *= trouble.times
    await asyncio.sleep(trouble.for_s)
    faults.latency_s /= trouble.times


async def _turn_all_away(platform: PlatformStandin, trouble: TroubleSpec) -> None:
    platform.store.faults.refused.add(EVERYBODY)
    await asyncio.sleep(trouble.for_s)
    platform.store.faults.refused.discard(EVERYBODY)
