"""Injection of a day's troubles into the stand-in of the platform."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final, TypeVar

from robinthread._internal.experiments.deployment import TroubleKind, TroubleSpec
from robinthread._internal.standins.platform_standin import PlatformStandin

ALL_CALLERS: Final = "*"

StartNode = Callable[[PlatformStandin, str], None]
T = TypeVar("T")


async def inject_trouble(
    platform: PlatformStandin, trouble: TroubleSpec, rng: random.Random, start_node: StartNode
) -> None:
    """Wait until a trouble's start, inject it and end it after its duration."""
    await asyncio.sleep(trouble.at_s)
    match TroubleKind(trouble.kind):
        case TroubleKind.KILL_NODES:
            await _kill_nodes(platform, trouble, rng, start_node)
        case TroubleKind.CUT_NODES:
            await _cut_nodes(platform, trouble, rng)
        case TroubleKind.CRASH_HOSTS:
            _crash_hosts(platform, trouble, rng)
        case TroubleKind.SLOW_STORE:
            await _slow_store(platform, trouble)
        case TroubleKind.STORE_AWAY:
            await _refuse_store_calls(platform, trouble)


def _choose_targets(candidates: Sequence[T], trouble: TroubleSpec, rng: random.Random) -> list[T]:
    """Choose ``trouble.share`` of the candidates at random, at least one if there are any."""
    return rng.sample(
        candidates, min(len(candidates), max(1, round(trouble.share * len(candidates))))
    )


async def _kill_nodes(
    platform: PlatformStandin, trouble: TroubleSpec, rng: random.Random, start_node: StartNode
) -> None:
    names = _choose_targets(sorted(platform.nodes), trouble, rng)
    for name in names:
        platform.kill_node(name)
    await asyncio.sleep(trouble.for_s)
    for name in names:
        if name not in platform.nodes:
            start_node(platform, name)


async def _cut_nodes(platform: PlatformStandin, trouble: TroubleSpec, rng: random.Random) -> None:
    names = _choose_targets(sorted(platform.nodes), trouble, rng)
    for name in names:
        platform.cut_node(name)
    await asyncio.sleep(trouble.for_s)
    for name in names:
        platform.heal_node(name)


def _crash_hosts(platform: PlatformStandin, trouble: TroubleSpec, rng: random.Random) -> None:
    platform.host_replacement_s = trouble.for_s
    up = [host.record.id for host in platform.hosts.hosts.values() if host.is_up]
    for host_id in _choose_targets(up, trouble, rng):
        platform.crash_and_replace_host(host_id)


async def _slow_store(platform: PlatformStandin, trouble: TroubleSpec) -> None:
    faults = platform.store.faults
    faults.latency_s *= trouble.times
    await asyncio.sleep(trouble.for_s)
    faults.latency_s /= trouble.times


async def _refuse_store_calls(platform: PlatformStandin, trouble: TroubleSpec) -> None:
    platform.store.faults.refused.add(ALL_CALLERS)
    await asyncio.sleep(trouble.for_s)
    platform.store.faults.refused.discard(ALL_CALLERS)
