"""Operator calls: changes validate their arguments and publish a record; others only read."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Final

from returns.result import Success

from robinthread._internal.fold.envelope import decode_batch
from robinthread._internal.fold.kinds.config_published import ConfigPublished
from robinthread._internal.fold.kinds.host_assigned import HostAssigned
from robinthread._internal.fold.kinds.pool_budget_set import PoolBudgetSet
from robinthread._internal.fold.kinds.pool_created import PoolCreated
from robinthread._internal.fold.kinds.pool_removed import PoolRemoved
from robinthread._internal.fold.kinds.quota_set import QuotaSet
from robinthread._internal.fold.kinds.wave_created import WaveCreated
from robinthread._internal.fold.kinds.wave_state_set import WaveStateSet
from robinthread._internal.follow.publisher import FLEET_STREAM
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host import Host
from robinthread._internal.models.wave import WaveKind, WaveState
from robinthread._internal.operators import robinthread_pb2 as pb
from robinthread._internal.operators.preview_call import preview_wave
from robinthread._internal.operators.status_call import make_status
from robinthread._internal.results import Fault, FaultError, ResultCode, make_fault
from robinthread._internal.utils.foreign_input import MalformedInputError, decode_msgpack

if TYPE_CHECKING:
    from robinthread._internal.daemon.daemon import Daemon

NAME_MAX: Final = 128
HISTORY_PAGE_RECORDS: Final = 512
SETTABLE_STATES: Final = {
    "running": WaveState.RUNNING,
    "paused": WaveState.PAUSED,
    "cancelled": WaveState.CANCELLED,
}

Call = Callable[["Daemon", Any], Awaitable[Any]]


def make_outcome(code: ResultCode, message: str = "", version: int = 0) -> Any:
    """Make an ``Outcome`` message."""
    return pb.Outcome(code=code.value, name=code.name, message=message, version=version)


async def create_pool(daemon: Daemon, request: Any) -> Any:
    """Create a pool."""
    _check_name(request.name, "name")
    body = PoolCreated(request.name, _make_budget(request.budget))
    return await _publish(daemon, body, request.operation_id)


async def set_budget(daemon: Daemon, request: Any) -> Any:
    """Set a pool's availability budget."""
    body = PoolBudgetSet(request.name, _make_budget(request.budget), request.based_on_version)
    pool = daemon.state.pools.get(request.name)
    return await _publish(daemon, body, request.operation_id, pool.version if pool else 0)


async def remove_pool(daemon: Daemon, request: Any) -> Any:
    """Remove a pool that has no hosts."""
    body = PoolRemoved(request.name, request.based_on_version)
    pool = daemon.state.pools.get(request.name)
    return await _publish(daemon, body, request.operation_id, pool.version if pool else 0)


async def assign_hosts(daemon: Daemon, request: Any) -> Any:
    """Assign free hosts to a pool, and stop at the first host that cannot be assigned."""
    if not request.hosts:
        raise _make_argument_error("hosts is empty")
    outcome = make_outcome(ResultCode.OK)
    for host in request.hosts:
        operation_id = f"{request.operation_id}/{host}" if request.operation_id else ""
        outcome = await _publish(daemon, HostAssigned(host, request.pool), operation_id)
        if not ResultCode(outcome.code).is_success:
            outcome.message = f"Host {host}: {outcome.message}"
            return outcome
    return outcome


async def create_wave(daemon: Daemon, request: Any) -> Any:
    """Create a wave over the named hosts, or over the hosts of a pool, a data hall or both."""
    _check_name(request.name, "name")
    hosts = _select_hosts(daemon.state, request)
    body = WaveCreated(
        request.name,
        request.reason,
        WaveKind.RELEASE if request.is_release else WaveKind.REBOOT,
        tuple(host.name for host in hosts),
        _check_deadline(daemon, request.deadline_at_s),
    )
    return await _publish(daemon, body, request.operation_id)


async def migrate_pool(daemon: Daemon, request: Any) -> Any:
    """Migrate a pool's hosts from one data hall to another."""
    _check_name(request.name, "name")
    state = daemon.state
    if request.pool not in state.pools:
        raise FaultError(make_fault(ResultCode.NOT_FOUND, f"Pool {request.pool!r} is unknown"))
    if request.from_hall == request.to_hall:
        raise _make_argument_error("from_hall and to_hall are the same")
    members = tuple(state.iter_pool_hosts(request.pool))
    leaving = tuple(host.name for host in members if host.hall == request.from_hall)
    in_target_hall = sum(host.hall == request.to_hall for host in members)
    body = WaveCreated(
        request.name,
        f"migrate {request.pool} from {request.from_hall} to {request.to_hall}",
        WaveKind.RELEASE,
        leaving,
        _check_deadline(daemon, request.deadline_at_s),
        request.pool,
        request.to_hall,
        in_target_hall + len(leaving),
    )
    return await _publish(daemon, body, request.operation_id)


async def set_wave_state(daemon: Daemon, request: Any) -> Any:
    """Pause, resume or cancel a wave."""
    state = SETTABLE_STATES.get(request.state)
    if state is None:
        raise _make_argument_error(
            f"state is {request.state!r}, expected one of {', '.join(SETTABLE_STATES)}"
        )
    body = WaveStateSet(request.name, state, request.based_on_version)
    wave = daemon.state.waves.get(request.name)
    return await _publish(daemon, body, request.operation_id, wave.version if wave else 0)


async def plan_wave(daemon: Daemon, request: Any) -> Any:
    """Return the plan of a wave without creating it."""
    hosts = _select_hosts(daemon.state, request)
    plan: Any = preview_wave(daemon, hosts, request.reboot_s, request.deadline_at_s)
    plan.outcome.CopyFrom(make_outcome(ResultCode.OK))
    return plan


async def set_quota(daemon: Daemon, request: Any) -> Any:
    """Set a team's quota."""
    _check_name(request.team, "team")
    if request.max_slots < 1:
        raise _make_argument_error("max_slots must be at least 1")
    body = QuotaSet(request.team, request.max_slots, request.based_on_version)
    quota = daemon.state.quotas.get(request.team)
    return await _publish(daemon, body, request.operation_id, quota.version if quota else 0)


async def publish_config(daemon: Daemon, request: Any) -> Any:
    """Publish a named configuration text."""
    _check_name(request.name, "name")
    body = ConfigPublished(request.name, request.text, request.based_on_version)
    entry = daemon.state.config.get(request.name)
    return await _publish(daemon, body, request.operation_id, entry.version if entry else 0)


async def get_config_history(daemon: Daemon, request: Any) -> Any:
    """Return the versions of a configuration that the log still holds."""
    versions = []
    offset = 0
    while True:
        page = await daemon.environment.log.read(FLEET_STREAM, offset, HISTORY_PAGE_RECORDS, 0.0)
        for record in page.records:
            versions += _list_config_versions(daemon, request.name, record.offset, record.data)
        if not page.records:
            return pb.ConfigHistory(versions=versions)
        offset = page.records[-1].offset + 1


async def get_status(daemon: Daemon, request: Any) -> Any:
    """Return the status of the fleet as this daemon sees it."""
    return make_status(daemon)


async def get_timeline(daemon: Daemon, request: Any) -> Any:
    """Return this daemon's events that name one of the subjects, or all events."""
    return pb.Timeline(
        events=[
            pb.TimelineEvent(
                stamp=event.stamp,
                next_offset=event.next_offset,
                daemon=event.daemon,
                hall=event.hall,
                kind=event.kind,
                subject=event.subject,
                detail=event.detail,
                duration_ms=event.duration_ms,
            )
            for event in daemon.events.list_events(request.subjects)
        ]
    )


CALLS: Final[dict[str, Call]] = {
    "CreatePool": create_pool,
    "SetBudget": set_budget,
    "RemovePool": remove_pool,
    "AssignHosts": assign_hosts,
    "CreateWave": create_wave,
    "MigratePool": migrate_pool,
    "SetWaveState": set_wave_state,
    "PlanWave": plan_wave,
    "SetQuota": set_quota,
    "PublishConfig": publish_config,
    "GetConfigHistory": get_config_history,
    "GetStatus": get_status,
    "GetTimeline": get_timeline,
}


async def _publish(
    daemon: Daemon, body: object, operation_id: str, current_version: int = 0
) -> Any:
    result = await daemon.publish(body, operation_id)
    if isinstance(result, Success):
        folded = result.unwrap()
        return make_outcome(folded.code, version=max(0, folded.offset))
    fault: Fault = result.failure()
    return make_outcome(fault.code, fault.message, current_version)


def _list_config_versions(daemon: Daemon, name: str, offset: int, data: bytes) -> list[Any]:

    found = []
    for envelope in decode_batch(data):
        if envelope.kind != "config_published":
            continue
        try:
            body = decode_msgpack(envelope.body, ConfigPublished)
        except MalformedInputError:
            continue
        code = daemon.follower.folder.get_outcome(envelope.id)
        if body.name == name:
            found.append(
                pb.ConfigVersion(
                    name=name, text=body.text, version=offset, code=code.value if code else 0
                )
            )
    return found


def _make_budget(budget: Any) -> Budget:
    parsed = Budget(
        budget.min_serving_hosts,
        budget.min_serving_slots,
        dict(budget.per_hall_hosts),
        dict(budget.per_rack_hosts),
    )
    floors = (
        parsed.min_serving_hosts,
        parsed.min_serving_slots,
        *parsed.per_hall_hosts.values(),
        *parsed.per_rack_hosts.values(),
    )
    if min(floors) < 0:
        raise _make_argument_error("a floor of the budget is negative")
    return parsed


def _select_hosts(state: FleetState, request: Any) -> list[Host]:
    unknown = [name for name in request.hosts if name not in state.hosts]
    if unknown:
        raise FaultError(make_fault(ResultCode.NOT_FOUND, f"Hosts {', '.join(unknown)} unknown"))
    if request.hosts:
        return [state.hosts[name] for name in request.hosts]
    if not request.pool and not request.hall:
        raise _make_argument_error("name hosts, a pool or a data hall")
    found = [
        host
        for _, host in sorted(state.hosts.items())
        if (not request.pool or host.pool == request.pool)
        and (not request.hall or host.hall == request.hall)
    ]
    if not found:
        raise FaultError(make_fault(ResultCode.NOT_FOUND, "No host fits the pool and data hall"))
    return found


def _check_deadline(daemon: Daemon, deadline_at_s: float) -> float:
    if deadline_at_s and deadline_at_s <= daemon.environment.wall_clock():
        raise _make_argument_error("deadline_at_s is in the past")
    return deadline_at_s


def _check_name(name: str, field: str) -> None:
    is_plain = all(char.isalnum() or char in "-_." for char in name)
    if not name or len(name) > NAME_MAX or not is_plain:
        raise _make_argument_error(
            f"{field} is {name!r}, expected 1 to {NAME_MAX} letters, digits, '-', '_' or '.'"
        )


def _make_argument_error(error_text: str) -> FaultError:
    return FaultError(make_fault(ResultCode.BAD_ARGUMENT, error_text))
