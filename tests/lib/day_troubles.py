"""Faults injected on a random day: each one begins, lasts for a while and is undone."""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from robinthread._internal.durable.ownership import Member
from robinthread._internal.node.group_member import GROUP
from robinthread._internal.standins.job_host_standin import JobHostStandin
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import get_owner, make_stop_budget

# Hosts are crashed or drained only while more than this many are up: this many can hold the
# lasting tasks twice.
HOSTS_MIN = 6
# Latency of each call while the store is slow; a store call times out after 1.2 s.
SLOW_STORE_S = 0.4
LOST_SHARE = 0.3
# Delay of orders without a response until they are executed; its maximum exceeds any lease.
LATE_ORDER_S = (2.0, 12.0)
LATE_APPEND_S = (0.0, 1.0)
# A draining host ends a second after the time that it announced.
LEAVES_IN_MS = 2000
LEAVES_S = 3.0

Undo = Callable[[], None]


class TroubleKind(enum.Enum):
    """The kind of a fault."""

    KILL_NODE = "kill node"
    KILL_OWNER = "kill owner"
    KILL_ALL = "kill all nodes"
    STOP_NODE = "stop node"
    STOP_OWNER = "stop owner"
    CUT_NODE = "cut node"
    CUT_PEERS = "cut node from peers"
    CUT_HOST = "cut host"
    CRASH_HOST = "crash host"
    DRAIN_HOST = "drain host"
    LOSE_ORDERS = "lose answers of hosts"
    STORE_SILENT = "store silent"
    STORE_REFUSES = "store refuses node"
    STORE_SLOW = "store slow"
    LOSE_APPENDS = "lose answers of store"
    UNLIST_NODE = "unlist node"
    UNLIST_OWNER = "unlist owner"
    MACHINES_SILENT = "machines silent"


# Faults of hosts or of the network to them.
HOST_KINDS = (
    TroubleKind.CUT_HOST,
    TroubleKind.CRASH_HOST,
    TroubleKind.DRAIN_HOST,
    TroubleKind.LOSE_ORDERS,
)
# Faults that leave intact all that a task needs to run again: their duration counts as calm.
CALM_KINDS = {TroubleKind.UNLIST_NODE, TroubleKind.UNLIST_OWNER, TroubleKind.MACHINES_SILENT}


@dataclass(frozen=True)
class Trouble:
    """One fault; ``target``, modulo their number, picks one of the nodes or hosts at that time."""

    at_s: float
    kind: TroubleKind
    target: int
    length_s: float


async def bring_about(platform: PlatformStandin, trouble: Trouble) -> list[tuple[float, float]]:
    """Inject a fault and undo it; return the disturbed time spans, at most one."""
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    undo = await _begin(platform, trouble)
    if undo is None:
        return []
    gone_at_s = loop.time()
    await asyncio.sleep(trouble.length_s)
    undo()
    if trouble.kind in CALM_KINDS:
        return []
    # The loss of a host is a fault of a moment; its restart is none.
    is_of_moment = trouble.kind in (TroubleKind.CRASH_HOST, TroubleKind.DRAIN_HOST)
    return [(began_at_s, gone_at_s if is_of_moment else loop.time())]


async def _begin(platform: PlatformStandin, trouble: Trouble) -> Undo | None:
    """Begin a fault; return the function that undoes it, or None if it has no target."""
    match trouble.kind:
        case TroubleKind.CUT_HOST:
            host = _pick_host(platform, trouble)
            return None if host is None else _cut_host(platform, host)
        case TroubleKind.CRASH_HOST | TroubleKind.DRAIN_HOST:
            return await _lose_host(platform, trouble)
        case TroubleKind.KILL_ALL:
            return _kill(platform, list(platform.nodes))
    undo = _begin_everywhere(platform, trouble.kind)
    name = _pick_node(platform, trouble)
    return undo if undo or name is None else await _begin_at_node(platform, trouble.kind, name)


def _begin_everywhere(platform: PlatformStandin, kind: TroubleKind) -> Undo | None:
    store, hosts = platform.store.faults, platform.hosts.faults
    match kind:
        case TroubleKind.STORE_SILENT:
            return _add(store.silent, "*")
        case TroubleKind.MACHINES_SILENT:
            return _add(platform.machines.faults.silent, "*")
        case TroubleKind.STORE_SLOW:
            store.latency_s = SLOW_STORE_S
            return lambda: setattr(store, "latency_s", store.ordinary_latency_s)
        case TroubleKind.LOSE_ORDERS:
            hosts.lost_share, hosts.late_s = LOST_SHARE, LATE_ORDER_S
            return lambda: setattr(hosts, "lost_share", 0.0)
        case TroubleKind.LOSE_APPENDS:
            store.lost_share, store.late_s = LOST_SHARE, LATE_APPEND_S
            return lambda: setattr(store, "lost_share", 0.0)
    return None


async def _begin_at_node(platform: PlatformStandin, kind: TroubleKind, name: str) -> Undo | None:
    match kind:
        case TroubleKind.KILL_NODE | TroubleKind.KILL_OWNER:
            return _kill(platform, [name])
        case TroubleKind.STOP_NODE | TroubleKind.STOP_OWNER:
            return await _stop(platform, name)
        case TroubleKind.CUT_NODE:
            platform.cut_node(name)
            return lambda: platform.heal_node(name)
        case TroubleKind.CUT_PEERS:
            return _add(platform.cut_nodes, name)
        case TroubleKind.STORE_REFUSES:
            return _add(platform.store.faults.refused, name)
    return _unlist(platform, name)


def _pick_node(platform: PlatformStandin, trouble: Trouble) -> str | None:
    if "OWNER" in trouble.kind.name:
        return get_owner(platform)
    names = sorted(platform.nodes)
    return names[trouble.target % len(names)] if names else None


def _pick_host(platform: PlatformStandin, trouble: Trouble) -> JobHostStandin | None:
    hosts = [host for host in platform.hosts.hosts.values() if host.is_up]
    return hosts[trouble.target % len(hosts)] if hosts else None


def _add(names: set[str], name: str) -> Undo:
    names.add(name)
    return lambda: names.discard(name)


def _kill(platform: PlatformStandin, names: list[str]) -> Undo:
    for name in names:
        platform.kill_node(name)
    return lambda: _start_again(platform, names)


async def _stop(platform: PlatformStandin, name: str) -> Undo:
    node = platform.nodes[name]
    await node.assembled.node.stop(make_stop_budget(platform))
    # Another fault may have killed the node during its stop.
    if platform.nodes.get(name) is node:
        platform.kill_node(name)
    return lambda: _start_again(platform, [name])


def _start_again(platform: PlatformStandin, names: list[str]) -> None:
    for name in names:
        if name not in platform.nodes:
            platform.start_node(name)


def _cut_host(platform: PlatformStandin, host: JobHostStandin) -> Undo:
    ways = {(f"node{number}", host.record.address) for number in range(99)}
    platform.hosts.cut_routes |= ways
    return lambda: platform.hosts.cut_routes.difference_update(ways)


async def _lose_host(platform: PlatformStandin, trouble: Trouble) -> Undo | None:
    if sum(host.is_up for host in platform.hosts.hosts.values()) <= HOSTS_MIN:
        return None
    host = _pick_host(platform, trouble)
    assert host is not None
    if trouble.kind is TroubleKind.DRAIN_HOST:
        platform.list_host(replace(host.record, is_draining=True, leaves_in_ms=LEAVES_IN_MS))
        await asyncio.sleep(LEAVES_S)
    if host.is_up:
        platform.crash_host(host.record.id)
    return lambda: platform.machines.restart(host.record.id)


def _unlist(platform: PlatformStandin, node: str) -> Undo:
    members = platform.store.get_group(GROUP).list_holders()
    names = {name for name in members if msgspec.json.decode(name, type=Member).node == node}
    platform.store.unlisted |= names
    return lambda: platform.store.unlisted.difference_update(names)
