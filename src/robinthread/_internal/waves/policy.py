"""Policies that choose which hosts of a wave leave service next.

A policy is a pure function from a ``PoolView`` to a ``PolicyChoice``.  The two baselines,
``one_at_a_time`` and ``batch``, are what operators do by hand.
"""

import math
from collections.abc import Callable, Iterable
from typing import Final

from robinthread._internal.settings.wave_settings import WaveSettings
from robinthread._internal.waves.host_view import HostView
from robinthread._internal.waves.pool_view import PolicyChoice, PoolView

BATCH_SHARE: Final = 0.1

Policy = Callable[[PoolView], PolicyChoice]


def make_policy(settings: WaveSettings) -> Policy:
    """Return the policy that is named in the settings."""
    return {
        "planner": make_planner(settings),
        "one_at_a_time": make_batches(lambda hosts: 1),
        "batch": make_batches(lambda hosts: math.ceil(hosts * BATCH_SHARE)),
    }[settings.policy]


def make_planner(settings: WaveSettings) -> Policy:
    """Make the policy that empties hosts before it requests their permits.

    While some hosts reboot, new work is steered away from the next ones.  A steered host
    still serves as a fallback, so its slots are not lost; once it is empty, its permit costs
    only the reboot.  If a host keeps receiving work, it drains under its permit as soon as
    the cost of the slots that are idle meanwhile is at most that of the roll-out time saved.
    """

    def plan(view: PoolView) -> PolicyChoice:
        ordered = sorted(view.waiting, key=_get_leaving_order)
        leaving = _select_leaving(view, ordered)
        steered = _select_steered(view, ordered, max(1, len(leaving)))
        permit = tuple(host.name for host in leaving if _is_worth_permit(settings, host))
        return PolicyChoice(
            steered,
            permit,
            tuple(host.name for host in ordered),
            tuple(host.name for host in leaving),
        )

    return plan


def make_batches(get_size: Callable[[int], int]) -> Policy:
    """Make a baseline policy: fixed batches by host name, each starting after the previous one."""

    def plan(view: PoolView) -> PolicyChoice:
        names = sorted(view.wave_hosts)
        size = get_size(len(names))
        batches = (names[start : start + size] for start in range(0, len(names), size))
        current = next((batch for batch in batches if not view.wave_done.issuperset(batch)), [])
        waiting_names = {host.name for host in view.waiting}
        return PolicyChoice((), tuple(name for name in current if name in waiting_names))

    return plan


def _get_leaving_order(host: HostView) -> tuple[bool, float, float, str, str]:
    """Return a sort key: empty hosts, longest steered, shortest drain, rack, name."""
    return (bool(host.residuals_s), -host.steered_s, host.drain_s, host.rack, host.name)


def _select_leaving(view: PoolView, ordered: Iterable[HostView]) -> list[HostView]:
    """Return the hosts, best first, that may leave together now within the budget."""
    leaving: list[HostView] = []
    for host in ordered:
        names = tuple(other.name for other in leaving)
        if view.may_leave((*names, host.name)):
            leaving.append(host)
    return leaving


def _select_steered(view: PoolView, ordered: list[HostView], wanted: int) -> tuple[str, ...]:
    """Return the names of the hosts to empty in advance, as far as free slots allow."""
    steered: list[str] = []
    spare = view.slots_free
    for host in ordered:
        spare -= host.slots
        if steered and (spare < 0 or len(steered) >= wanted + view.away_count):
            break
        steered.append(host.name)
    return tuple(steered)


def _is_worth_permit(settings: WaveSettings, host: HostView) -> bool:
    """Tell whether to drain ``host`` now: it is empty, or its wait costs more than the drain.

    A host that was steered for longer than ``drain_timeout_s`` keeps receiving work.  A drain
    leaves slots idle for ``held_back_slot_s``; waiting on delays the return of all its slots
    by the overrun.
    """
    if not host.residuals_s:
        return True
    overrun_s = host.steered_s - settings.drain_timeout_s
    if overrun_s <= 0:
        return False
    rollout_cost = settings.rollout_weight * host.slots * overrun_s
    return rollout_cost >= settings.buffer_weight * host.held_back_slot_s
