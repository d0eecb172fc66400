"""Policies: which hosts of a wave leave when.

A policy is a plain function from what is seen to what is done; the two
baselines are what operators do by hand.
"""

import itertools
import math
from collections.abc import Callable, Iterable
from typing import Final

from robinthread._internal.settings.wave_settings import WaveSettings
from robinthread._internal.waves.host_view import HostView
from robinthread._internal.waves.pool_view import PolicyChoice, PoolView

BATCH_SHARE: Final = 0.1
NEAR_EMPTY_SLOT_S: Final = 1.0

Policy = Callable[[PoolView], PolicyChoice]


def make_policy(settings: WaveSettings) -> Policy:
    """Return the policy that the settings name."""
    return {
        "planner": make_planner(settings),
        "one_at_a_time": one_at_a_time,
        "batch": fixed_batch,
    }[settings.policy]


def make_planner(settings: WaveSettings) -> Policy:
    """Make the policy that weighs buffer cost against roll-out time.

    New work is first steered away from the next hosts, which go on serving as
    a fallback and so hold back nothing.  A host asks for its permit once it
    is empty, or once waiting longer costs more roll-out time than draining it
    now costs in idle slots.
    """

    def plan(view: PoolView) -> PolicyChoice:
        ordered = sorted(view.waiting, key=_get_leaving_order)
        leaving = _take_leaving(view, ordered)
        steer = _take_steered(view, ordered, len(leaving))
        permit = tuple(
            host.name for host in leaving if _is_worth_permit(settings, view, host, steer)
        )
        return PolicyChoice(steer, permit)

    return plan


def one_at_a_time(view: PoolView) -> PolicyChoice:
    """Baseline: the next host by name, once the one before is back."""
    if view.away_count or not view.waiting:
        return PolicyChoice((), ())
    return PolicyChoice((), (min(host.name for host in view.waiting),))


def fixed_batch(view: PoolView) -> PolicyChoice:
    """Baseline: a tenth of the wave at a time, each batch after the one before."""
    if view.away_count:
        return PolicyChoice((), ())
    size = math.ceil(view.wave_size * BATCH_SHARE)
    return PolicyChoice((), tuple(sorted(host.name for host in view.waiting)[:size]))


def _get_leaving_order(host: HostView) -> tuple[float, float, str, str]:
    """Order hosts: those steered longest, then those that hold back least, by rack."""
    return (-host.steered_s, host.held_back_slot_s, host.rack, host.name)


def _take_leaving(view: PoolView, ordered: Iterable[HostView]) -> list[HostView]:
    """Return the longest run of hosts that the budget lets go now."""
    leaving: list[HostView] = []
    for host in ordered:
        names = tuple(other.name for other in leaving)
        if view.may_leave((*names, host.name)):
            leaving.append(host)
    return leaving


def _take_steered(view: PoolView, ordered: list[HostView], leaving_count: int) -> tuple[str, ...]:
    """Return the hosts to empty ahead of their turn, as far as free slots allow."""
    wanted = max(1, leaving_count + view.away_count)
    steer: list[str] = []
    spare = view.slots_free
    for host in itertools.islice(ordered, 2 * wanted):
        spare -= host.slots
        if spare < 0 and len(steer) >= max(1, leaving_count):
            break
        steer.append(host.name)
    return tuple(steer)


def _is_worth_permit(
    settings: WaveSettings, view: PoolView, host: HostView, steer: tuple[str, ...]
) -> bool:
    """Tell whether to drain ``host`` now rather than let it empty itself first.

    Waiting costs roll-out time: the share of the wave that waits behind the
    host.  Draining costs the slots that idle until the last task ends.
    """
    if not host.residuals_s:
        return True
    waits = max(host.steered_s - host.drain_s, 0.0)
    buffer_cost = settings.buffer_weight * host.held_back_slot_s
    rollout_cost = settings.rollout_weight * host.slots * (waits + host.drain_s)
    return (rollout_cost >= buffer_cost and host.steered_s > 0) or waits > settings.steer_max_s
