"""Preview of a wave: host order, times, buffer cost and task moves, with lower bounds."""

import heapq
import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from robinthread._internal.models.host import Host


@dataclass(frozen=True)
class PreviewStep:
    """A host's planned drain and return, in seconds from the start of the wave."""

    host: str
    start_s: float
    drained_s: float
    returned_s: float


@dataclass(frozen=True)
class Preview:
    """A plan and its three measures, each with its lower bound for the same input.

    ``is_stuck`` is set if the budget never allows some host to leave; the plan then ends there.
    """

    steps: tuple[PreviewStep, ...]
    rollout_s: float
    rollout_bound_s: float
    buffer_slot_s: float
    buffer_bound_slot_s: float
    moves: int
    moves_bound: int
    is_stuck: bool


@dataclass(frozen=True)
class PreviewInput:
    """The part of a wave that concerns one pool.

    ``hosts`` are in their order of departure; ``get_drain_s`` and ``get_moves`` return the
    expected drain time of a host and the number of its tasks to be moved.
    """

    hosts: Sequence[Host]
    may_leave: Callable[[frozenset[str]], bool]
    get_drain_s: Callable[[str], float]
    get_moves: Callable[[str], int]
    reboot_s: float


def make_preview(entry: PreviewInput) -> Preview:
    """Simulate a wave in which each host leaves as soon as the budget allows."""
    away: list[tuple[float, str]] = []
    steps: list[PreviewStep] = []
    now_s = 0.0
    concurrency = 0
    for host in entry.hosts:
        while not entry.may_leave(frozenset({host.name, *(name for _, name in away)})):
            if not away:
                return _finish(entry, steps, concurrency, is_stuck=True)
            now_s, _ = heapq.heappop(away)
        drained_s = now_s + entry.get_drain_s(host.name)
        returned_s = drained_s + entry.reboot_s
        steps.append(PreviewStep(host.name, now_s, drained_s, returned_s))
        heapq.heappush(away, (returned_s, host.name))
        concurrency = max(concurrency, len(away))
    return _finish(entry, steps, concurrency, is_stuck=False)


def merge_previews(previews: Iterable[Preview]) -> Preview:
    """Merge the previews of pools that are maintained in parallel."""
    parts = tuple(previews)
    return Preview(
        tuple(sorted((step for part in parts for step in part.steps), key=lambda s: s.start_s)),
        max((part.rollout_s for part in parts), default=0.0),
        max((part.rollout_bound_s for part in parts), default=0.0),
        sum(part.buffer_slot_s for part in parts),
        sum(part.buffer_bound_slot_s for part in parts),
        sum(part.moves for part in parts),
        sum(part.moves_bound for part in parts),
        any(part.is_stuck for part in parts),
    )


def _finish(
    entry: PreviewInput, steps: list[PreviewStep], concurrency: int, is_stuck: bool
) -> Preview:
    slots = {host.name: host.slots for host in entry.hosts}
    rounds = math.ceil(len(entry.hosts) / concurrency) if concurrency else 0
    return Preview(
        tuple(steps),
        max((step.returned_s for step in steps), default=0.0),
        rounds * entry.reboot_s,
        sum(slots[step.host] * (step.returned_s - step.start_s) for step in steps),
        sum(slots.values()) * entry.reboot_s,
        sum(entry.get_moves(host.name) for host in entry.hosts),
        0,
        is_stuck,
    )
