"""Overview of the state of the fleet."""

from typing import Any

from robinthread._internal.commands.change import to_json
from robinthread._internal.commands.client import Target, call


def run_status(target: Target, with_hosts: bool, is_json: bool) -> int:
    """Print the fleet status as seen by the daemon at ``target``."""
    status = call(target, "GetStatus", {})
    print(to_json(status) if is_json else "\n".join(_iter_lines(status, with_hosts)))
    return 0


def _iter_lines(status: Any, with_hosts: bool) -> Any:
    ready = "ready" if status.is_ready else "not ready"
    fresh = "fresh" if status.is_fresh else f"log not heard for {status.log_lag_s:.0f} s"
    yield f"{status.daemon} in {status.hall}: {ready}, {fresh}, offset {status.next_offset}"
    if status.cut_halls:
        yield f"halls cut off: {', '.join(status.cut_halls)}"
    for pool in status.pools:
        held = "held" if pool.is_budget_held else "BROKEN"
        yield (
            f"pool {pool.name}: budget {held}, serving {pool.serving}/{pool.hosts} "
            f"(floor {pool.min_serving_hosts}), away {pool.away}, failed {pool.failed}, "
            f"version {pool.version}"
        )
    for wave in status.waves:
        waits = f", waits for {wave.waits_for}" if wave.waits_for else ""
        yield (
            f"wave {wave.name}: {wave.state}, {wave.done}/{wave.hosts} hosts, "
            f"version {wave.version}{waits}"
        )
    for quota in status.quotas:
        yield f"quota {quota.team}: {quota.max_slots} slots, version {quota.version}"
    for daemon in status.daemons:
        heard = "heard" if daemon.is_heard else "NOT HEARD"
        yield f"daemon {daemon.name} in {daemon.hall}: {heard}, offset {daemon.next_offset}"
    if with_hosts:
        for host in status.hosts:
            yield (
                f"host {host.name} in {host.hall} {host.rack}: "
                f"{host.phase}, pool {host.pool or '-'}"
            )
    measures = status.measures
    yield (
        f"here: buffer cost {measures.buffer_slot_s:.1f} slot s, "
        f"roll-out time {measures.rollout_s:.1f} s, moves {measures.moves}"
    )
