"""Fleet status for operators in one message."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host import Host
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.models.pool import Pool
from robinthread._internal.models.wave import Wave, WaveState
from robinthread._internal.operators import robinthread_pb2 as pb

if TYPE_CHECKING:
    from robinthread._internal.daemon.daemon import Daemon

AWAY_PHASES = frozenset({HostPhase.PERMITTED, HostPhase.DRAINING, HostPhase.OUT, HostPhase.LEAVING})


def make_status(daemon: Daemon) -> pb.Status:
    """Return the fleet status as this daemon sees it, and how current it is."""
    state = daemon.state
    return pb.Status(
        daemon=daemon.settings.name,
        hall=daemon.settings.hall,
        is_ready=daemon.is_ready,
        is_fresh=daemon.is_fresh,
        log_lag_s=min(daemon.follower.get_lag_s(), 1e6),
        next_offset=state.next_offset,
        pools=[_make_pool(state, pool) for _, pool in sorted(state.pools.items())],
        hosts=[_make_host(host) for _, host in sorted(state.hosts.items())],
        waves=[_make_wave(state, wave) for wave in state.waves.values()],
        daemons=[_make_daemon(daemon, name) for name in sorted(state.daemons)],
        cut_halls=sorted(state.cut_halls),
        quotas=[
            pb.QuotaStatus(team=quota.team, max_slots=quota.max_slots, version=quota.version)
            for _, quota in sorted(state.quotas.items())
        ],
        measures=pb.Measures(
            buffer_slot_s=daemon.measures.buffer_slot_s,
            rollout_s=daemon.measures.rollout_s,
            moves=daemon.measures.moves,
        ),
        counters=dict(sorted(daemon.counters.tally.items())),
    )


def _make_pool(state: FleetState, pool: Pool) -> pb.PoolStatus:
    hosts = tuple(state.iter_pool_hosts(pool.name))
    phases = Counter(host.phase for host in hosts)
    return pb.PoolStatus(
        name=pool.name,
        version=pool.version,
        is_budget_held=pool.budget.is_met_by(hosts),
        hosts=len(hosts),
        serving=phases[HostPhase.SERVING],
        away=sum(phases[phase] for phase in AWAY_PHASES),
        failed=phases[HostPhase.FAILED],
        min_serving_hosts=pool.budget.min_serving_hosts,
        serving_per_hall=dict(Counter(host.hall for host in hosts if host.is_serving)),
    )


def _make_host(host: Host) -> pb.HostStatus:
    return pb.HostStatus(
        name=host.name,
        hall=host.hall,
        rack=host.rack,
        pool=host.pool,
        phase=host.phase.value,
        wave=host.wave,
        token=host.token,
    )


def _make_wave(state: FleetState, wave: Wave) -> pb.WaveStatus:
    return pb.WaveStatus(
        name=wave.name,
        version=wave.version,
        state=wave.state.value,
        kind=wave.kind.value,
        reason=wave.reason,
        hosts=len(wave.hosts),
        done=len(wave.done),
        waits_for=_describe_wait(state, wave),
    )


def _describe_wait(state: FleetState, wave: Wave) -> str:
    """Describe what an unfinished wave waits for; "" if the wave has ended or waits for nothing."""
    if not wave.is_unfinished:
        return ""
    if wave.state is WaveState.PAUSED:
        return "resume"
    waiting = [state.hosts[name] for name in wave.waiting if name in state.hosts]
    away = [host for host in waiting if host.phase in AWAY_PHASES]
    failed = [host.name for host in waiting if host.phase is HostPhase.FAILED]
    if away:
        return ", ".join(f"{host.name} {host.phase.value}" for host in away)
    if failed:
        return "failed hosts: " + ", ".join(failed)
    if waiting:
        return "budget of " + ", ".join(sorted({host.pool for host in waiting}))
    return f"arrivals in {wave.to_hall}" if wave.to_hall else ""


def _make_daemon(daemon: Daemon, name: str) -> pb.DaemonStatus:
    member = daemon.state.daemons[name]
    offsets = daemon.presence.get_offsets() | {daemon.settings.name: daemon.state.next_offset}
    return pb.DaemonStatus(
        name=name,
        hall=member.hall,
        next_offset=offsets.get(name, 0),
        is_heard=daemon.presence.is_reachable(member),
        operator_address=member.operator_address,
    )
