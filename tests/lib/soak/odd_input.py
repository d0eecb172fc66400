"""Odd entries, answers and bodies of callers during a soak, drawn from its seed."""

import asyncio
import enum
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from robinthread._internal.platform.platform_records import (
    EVACUATION_PREFIX,
    PLATFORM_RECORDS,
    WAVE_PREFIX,
)
from robinthread._internal.standins.host_changes import HostState
from tests.lib.soak.callers import Connection, NoResponseError
from tests.lib.soak.handlers import AnswerManner
from tests.lib.soak.node_process import NodeProcess
from tests.lib.soak.odd_answers import ODD_ANSWERS, ODD_BODIES
from tests.lib.soak.odd_entries import HOST_LIKE_FORMS, ODD_KEYS, make_odd_entries
from tests.lib.soak.world import SoakWorld

MANY = 200
FOR_S = (1.0, 4.0)
BODY_TRIES = 20
BODY_PAUSE_S = 0.5
# A node answers so while it cannot tell yet whether it has the route, or has none.
NOT_YET = (404, 503)
ODD_JOB = "0" * 8 + "0dd0" + "0" * 4


class OddKind(enum.Enum):
    """What is odd."""

    ENTRY = "one odd entry among the hosts'"
    ENTRIES = "many odd entries among the hosts', one of each form"
    KEYS = "odd keys among the hosts' entries"
    OWN_ENTRY = "the entry of a sound host is odd for some seconds"
    OPERATORS = "odd waves and evacuations"
    HOST = "a host's answers are odd for some seconds"
    MACHINES = "the list of machines is odd for some seconds"
    ADVICE = "advice is odd for some seconds"
    BODIES = "callers hand odd bodies in"


@dataclass(frozen=True)
class OddInput:
    """Odd input from ``at_s`` on, in seconds of the day; before the nodes start if negative."""

    at_s: float
    kind: OddKind
    target: int
    for_s: float


def draw_odd_input(drawn: random.Random, length_s: float) -> Iterator[OddInput]:
    """Yield odd input of each kind, half of the entries before the nodes start."""
    for kind in OddKind:
        is_entry = kind in (OddKind.ENTRY, OddKind.ENTRIES, OddKind.KEYS, OddKind.OPERATORS)
        at_s = drawn.uniform(0, length_s)
        if is_entry and drawn.random() < 0.5:
            at_s = -1.0
        for _ in range(drawn.choice((1, 1, 2))):
            yield OddInput(at_s, kind, drawn.randrange(1000), drawn.uniform(*FOR_S))
            at_s += drawn.uniform(0.1, 3.0) if at_s >= 0 else 0.0


async def apply_odd_input(world: SoakWorld, nodes: list[NodeProcess], odd: OddInput) -> list[str]:
    """Wait until the input's time, apply it and end it; return violations that callers saw."""
    await asyncio.sleep(max(0.0, odd.at_s))
    if odd.kind is OddKind.BODIES:
        return list(
            filter(None, [await _hand_odd_body_in(nodes, odd, name) for name in ODD_BODIES])
        )
    await _apply(world, odd)
    return []


async def _apply(world: SoakWorld, odd: OddInput) -> None:
    values = list(make_odd_entries().values())
    value = values[odd.target % len(values)]
    match odd.kind:
        case OddKind.ENTRY:
            world.put_entry(f"odd-{odd.target}", value)
        case OddKind.ENTRIES:
            forms = make_odd_entries()
            unlike = [forms[form] for form in forms if form not in HOST_LIKE_FORMS]
            for number, each in enumerate(itertools.islice(itertools.cycle(unlike), MANY)):
                world.put_entry(f"odd-{number}", each)
        case OddKind.KEYS:
            for key in ODD_KEYS:
                world.put_entry(key, value)
        case OddKind.OPERATORS:
            for key in (f"{WAVE_PREFIX}{odd.target}", f"{EVACUATION_PREFIX}odd", "odd"):
                world.store.put(PLATFORM_RECORDS.operators_partition, key, value)
        case OddKind.OWN_ENTRY:
            await _change_own_entry(world, odd, value)
        case OddKind.HOST:
            manners = list(world.host_manners.values())
            await _distort(manners[odd.target % len(manners)], odd)
        case OddKind.MACHINES:
            await _distort(world.machines_manner, odd)
        case OddKind.ADVICE:
            await _distort(world.advice_manner, odd)


async def _distort(manner: AnswerManner, odd: OddInput) -> None:
    manner.distort = _pick(odd)
    await asyncio.sleep(odd.for_s)
    manner.distort = None


def _pick(odd: OddInput) -> Callable[[bytes], bytes]:
    forms = list(ODD_ANSWERS.values())
    return forms[odd.target % len(forms)]


async def _change_own_entry(world: SoakWorld, odd: OddInput, value: bytes) -> None:
    """Replace the entry of a host that is ready; the host writes it again unless it has ended."""
    ready = [
        host
        for host in world.hosts.hosts.values()
        if host.is_up and world.host_changes.get_state(host.record.id) is HostState.READY
    ]
    if not ready:
        return
    host = ready[odd.target % len(ready)]
    world.host_changes.record(host.record, HostState.ODD)
    world.put_entry(host.record.id, value)
    await asyncio.sleep(odd.for_s)
    if host.is_up and world.host_changes.get_state(host.record.id) is HostState.ODD:
        world.put_entry(host.record.id, msgspec.json.encode(world.make_entry(host.record)))
        world.host_changes.record(host.record, HostState.READY)


async def _hand_odd_body_in(nodes: list[NodeProcess], odd: OddInput, name: str) -> str:
    """Return a violation unless a node refuses a body as a bad request, "" if it does."""
    for number in range(BODY_TRIES):
        node = nodes[(odd.target + number) % len(nodes)]
        try:
            connection = await Connection.open(node.ip)
            status, _ = await connection.call("POST", ODD_JOB, ODD_BODIES[name])
            connection.close()
        except (OSError, NoResponseError):
            status = NOT_YET[0]
        if status not in NOT_YET:
            return "" if status == 400 else f"{node.name} answered {status} to a body: {name}"
        await asyncio.sleep(BODY_PAUSE_S)
    return f"no node answered a body: {name}"
