"""Preview of a wave for operators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from robinthread._internal.models.host import Host
from robinthread._internal.operators import robinthread_pb2 as pb
from robinthread._internal.waves.preview import (
    Preview,
    PreviewInput,
    make_preview,
    merge_previews,
)

if TYPE_CHECKING:
    from robinthread._internal.daemon.daemon import Daemon

ADVICE_STUCK = "The budget lets no host of a pool go: add a host to the pool, or lower its budget."


def preview_wave(
    daemon: Daemon, hosts: list[Host], reboot_s: float, deadline_at_s: float
) -> object:
    """Return the plan of a wave over ``hosts`` without creating it.

    ``reboot_s`` of 0 stands for the estimate in the settings, ``deadline_at_s`` of 0 for no
    deadline.
    """
    pools = sorted({host.pool for host in hosts})
    preview = merge_previews(
        make_preview(_make_input(daemon, pool, hosts, reboot_s)) for pool in pools
    )
    left_s = deadline_at_s - daemon.environment.wall_clock()
    meets = not preview.is_stuck and (not deadline_at_s or preview.rollout_s <= left_s)
    return pb.WavePlan(
        steps=[
            pb.PlannedStep(
                host=step.host,
                start_s=step.start_s,
                drained_s=step.drained_s,
                returned_s=step.returned_s,
            )
            for step in preview.steps
        ],
        rollout_s=preview.rollout_s,
        rollout_bound_s=preview.rollout_bound_s,
        buffer_slot_s=preview.buffer_slot_s,
        buffer_bound_slot_s=preview.buffer_bound_slot_s,
        moves=preview.moves,
        moves_bound=preview.moves_bound,
        meets_deadline=meets,
        advice=_make_advice(preview, left_s, meets),
    )


def _make_advice(preview: Preview, left_s: float, meets: bool) -> str:
    if preview.is_stuck:
        return ADVICE_STUCK
    if meets:
        return ""
    return (
        f"The wave takes {preview.rollout_s:.0f} s and {max(0.0, left_s):.0f} s are left: "
        "move the deadline, lower a budget by one host, or add a host to the slowest pool."
    )


def _make_input(daemon: Daemon, pool: str, hosts: list[Host], reboot_s: float) -> PreviewInput:
    found = daemon.state.pools.get(pool)
    members = tuple(daemon.state.iter_pool_hosts(pool))
    dispatcher = daemon.dispatch.dispatchers.get(pool)
    limit_s = daemon.settings.waves.drain_timeout_s
    now_s = asyncio.get_running_loop().time()

    def may_leave(names: frozenset[str]) -> bool:
        if found is None:
            return True
        return found.budget.is_met_by(host for host in members if host.name not in names)

    def list_residuals(name: str) -> list[float]:
        slots = dispatcher.hosts.get(name) if dispatcher else None
        if dispatcher is None or slots is None:
            return []
        return [
            dispatcher.estimate.get_residual_s(now_s - lease.granted_at_s)
            for lease in slots.leases.values()
        ]

    return PreviewInput(
        sorted(
            (host for host in hosts if host.pool == pool),
            key=lambda host: (-max(list_residuals(host.name), default=0.0), host.rack, host.name),
        ),
        may_leave,
        lambda name: min(limit_s, max(list_residuals(name), default=0.0)),
        lambda name: sum(left_s > limit_s for left_s in list_residuals(name)),
        reboot_s or daemon.settings.waves.reboot_estimate_s,
    )
