"""Policies: which hosts of a wave leave when.

A policy is a plain function from what is seen to what is done; the two
baselines are what operators do by hand.
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
    """Return the policy that the settings name."""
    return {
        "planner": make_planner(settings),
        "one_at_a_time": make_batches(lambda hosts: 1),
        "batch": make_batches(lambda hosts: math.ceil(hosts * BATCH_SHARE)),
    }[settings.policy]


def make_planner(settings: WaveSettings) -> Policy:
    """Make the policy that empties hosts before it asks for their permits.

    New work is steered away from the next hosts while the ones before them
    reboot.  A steered host serves on as a fallback, so it holds back nothing;
    once it is empty, its permit costs no more than the reboot.  Where work
    keeps coming back to it, the host drains under its permit as soon as the
    idle slots that this costs weigh less than the time it would save.
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
    """Make a baseline: fixed batches by name, each after the one before is back."""

    def plan(view: PoolView) -> PolicyChoice:
        names = sorted(view.wave_hosts)
        size = get_size(len(names))
        batches = (names[start : start + size] for start in range(0, len(names), size))
        current = next((batch for batch in batches if not view.wave_done.issuperset(batch)), [])
        waiting_names = {host.name for host in view.waiting}
        return PolicyChoice((), tuple(name for name in current if name in waiting_names))

    return plan


def _get_leaving_order(host: HostView) -> tuple[bool, float, float, str, str]:
    """Order hosts: empty ones, those steered longest, those soonest empty, by rack."""
    return (bool(host.residuals_s), -host.steered_s, host.drain_s, host.rack, host.name)


def _select_leaving(view: PoolView, ordered: Iterable[HostView]) -> list[HostView]:
    """Return the hosts, best first, that the budget lets go together now."""
    leaving: list[HostView] = []
    for host in ordered:
        names = tuple(other.name for other in leaving)
        if view.may_leave((*names, host.name)):
            leaving.append(host)
    return leaving


def _select_steered(view: PoolView, ordered: list[HostView], wanted: int) -> tuple[str, ...]:
    """Return the hosts to empty ahead of their turn, as far as free slots allow."""
    steered: list[str] = []
    spare = view.slots_free
    for host in ordered:
        spare -= host.slots
        if steered and (spare < 0 or len(steered) >= wanted + view.away_count):
            break
        steered.append(host.name)
    return tuple(steered)


def _is_worth_permit(settings: WaveSettings, host: HostView) -> bool:
    """Tell whether to drain ``host`` now: it is empty, or has been waited for too long.

    A host that was steered for longer than its tasks should have taken keeps
    getting work.  To drain it holds back slots for ``held_back_slot_s``, to
    wait on delays all its slots' return by what it has overrun.
    """
    if not host.residuals_s:
        return True
    overrun_s = host.steered_s - settings.drain_timeout_s
    if overrun_s <= 0:
        return False
    rollout_cost = settings.rollout_weight * host.slots * overrun_s
    return rollout_cost >= settings.buffer_weight * host.held_back_slot_s
