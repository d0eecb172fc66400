"""Registry of record kinds."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from robinthread._internal.fold.kinds import (
    config_published,
    daemon_joined,
    daemon_left,
    drain_permitted,
    drain_started,
    hall_cut,
    hall_healed,
    host_arrived,
    host_assigned,
    host_drained,
    host_failed,
    host_gone,
    host_leaving,
    host_recovered,
    host_returned,
    host_set_aside,
    pool_budget_set,
    pool_created,
    pool_removed,
    quota_set,
    wave_created,
    wave_state_set,
)
from robinthread._internal.fold.position import Position
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.fleet_state import FleetState

FoldFunction = Callable[[FleetState, Any, Position], FoldResult]


@dataclass(frozen=True)
class RecordKind:
    """Name of a record kind, type of its body and function that applies it."""

    name: str
    body_type: type
    fold: FoldFunction


KINDS: Final[dict[str, RecordKind]] = {
    kind.name: kind
    for kind in (
        RecordKind("config_published", config_published.ConfigPublished, config_published.fold),
        RecordKind("daemon_joined", daemon_joined.DaemonJoined, daemon_joined.fold),
        RecordKind("daemon_left", daemon_left.DaemonLeft, daemon_left.fold),
        RecordKind("drain_permitted", drain_permitted.DrainPermitted, drain_permitted.fold),
        RecordKind("drain_started", drain_started.DrainStarted, drain_started.fold),
        RecordKind("hall_cut", hall_cut.HallCut, hall_cut.fold),
        RecordKind("hall_healed", hall_healed.HallHealed, hall_healed.fold),
        RecordKind("host_arrived", host_arrived.HostArrived, host_arrived.fold),
        RecordKind("host_assigned", host_assigned.HostAssigned, host_assigned.fold),
        RecordKind("host_drained", host_drained.HostDrained, host_drained.fold),
        RecordKind("host_failed", host_failed.HostFailed, host_failed.fold),
        RecordKind("host_gone", host_gone.HostGone, host_gone.fold),
        RecordKind("host_leaving", host_leaving.HostLeaving, host_leaving.fold),
        RecordKind("host_recovered", host_recovered.HostRecovered, host_recovered.fold),
        RecordKind("host_returned", host_returned.HostReturned, host_returned.fold),
        RecordKind("host_set_aside", host_set_aside.HostSetAside, host_set_aside.fold),
        RecordKind("pool_budget_set", pool_budget_set.PoolBudgetSet, pool_budget_set.fold),
        RecordKind("pool_created", pool_created.PoolCreated, pool_created.fold),
        RecordKind("pool_removed", pool_removed.PoolRemoved, pool_removed.fold),
        RecordKind("quota_set", quota_set.QuotaSet, quota_set.fold),
        RecordKind("wave_created", wave_created.WaveCreated, wave_created.fold),
        RecordKind("wave_state_set", wave_state_set.WaveStateSet, wave_state_set.fold),
    )
}

KIND_OF_TYPE: Final[dict[type, str]] = {kind.body_type: kind.name for kind in KINDS.values()}
