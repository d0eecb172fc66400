"""Allocates the limits of workspaces to the pools, at the steward."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from robinthread._internal.fleet.pool_report import PoolReport
from robinthread._internal.fleet.share_allocation import (
    PoolUsage,
    allocate_shares,
    find_next_shares,
    get_reserved_share,
)
from robinthread._internal.models.fleet_config import FleetConfig
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.workspace_shares import (
    ShareOrder,
    ShareTable,
    WorkspaceUsage,
)
from robinthread._internal.telemetry.event_log import EventLog

# A new steward that has not received reports of all pools waits this long before it assigns the
# reserved share, which is never lent, to those that have reported.  By then most lost pools have a
# new owner; a task of a workspace that uses less than half of its limit may wait at most 3 s.
FIRST_REPORTS_WAIT_S: Final = 1.0
# Shares that differ by less count as equal.
SHARE_TOLERANCE: Final = 1e-6
# A workspace that uses at most this fraction of its even share in each pool needs no own shares.
LOW_USE_FRACTION: Final = 0.4


@dataclass
class _PoolShares:
    """The shares of a pool: the table that it ``confirmed`` last and the one that is ``pending``.

    Before a pool ``has_table``, it may hold the reserved share, and that share is not sent to
    it until a first table is decided.
    """

    confirmed: ShareTable
    has_table: bool
    pending: ShareTable | None = None
    usages: Mapping[str, WorkspaceUsage] = field(default_factory=dict)

    @property
    def table_to_send(self) -> ShareTable | None:
        """Return the table to send, None before the first table has been decided."""
        return self.assigned if self.has_table or self.pending is not None else None

    @property
    def assigned(self) -> ShareTable:
        """Return the table that the pool has to apply."""
        return self.pending or self.confirmed

    @property
    def default_bound(self) -> float:
        """Return the largest share that the pool may apply to workspaces without own shares."""
        return max(self.confirmed.default, self.assigned.default)

    def get_bound(self, workspace: str) -> float:
        """Return the largest share that the pool may apply to a workspace."""
        return max(self.confirmed.get(workspace), self.assigned.get(workspace))

    def has_settled(self, workspace: str, version: int) -> bool:
        """Tell whether the pool applies a share of this version and has reported the usage."""
        is_bound = self.pending is None and self.confirmed.config_version >= version
        return is_bound and workspace in self.confirmed.shares and workspace in self.usages


class ShareAllocator:
    """Allocates the limits of workspaces to the pools, under the steward's token.

    A pool has reported once it has responded under this token: from then on it rejects
    earlier stewards, and the shares that it may hold are known.  No share is lent until all
    pools have reported.  A workspace whose limit was lowered starts no tasks until all pools
    have reported its usage.
    """

    def __init__(
        self, token: int, reserved_share: float, started_at_s: float, events: EventLog
    ) -> None:
        self._token = token
        self._reserved_share = reserved_share
        self._started_at_s = started_at_s
        self._events = events
        self._number = 0
        self._pools: dict[str, _PoolShares] = {}
        self._lowered_in: dict[str, int] = {}
        self._unsettled: dict[str, int] = {}
        self._logged: dict[str, dict[str, float]] = {}

    def make_order(self, pool: str, config: FleetConfig) -> ShareOrder | None:
        """Return the share order for a pool, None if no workspace has a limit."""
        if not config.limits and not self._pools:
            return None
        self._number += 1
        pool_shares = self._pools.get(pool)
        return ShareOrder(
            self._token, self._number, None if pool_shares is None else pool_shares.table_to_send
        )

    def record_reports(self, config: FleetConfig, reports: Mapping[str, PoolReport]) -> None:
        """Apply the reports with which pools responded to their last orders."""
        initial = ShareTable(0, get_reserved_share(self._reserved_share, config))
        for pool, report in reports.items():
            state = report.share_state
            if state is None or state.token != self._token:
                continue
            pool_shares = self._pools.get(pool)
            if pool_shares is None:
                pool_shares = _PoolShares(state.table or initial, has_table=state.table is not None)
                self._pools[pool] = pool_shares
            elif pool_shares.pending is not None and state.table == pool_shares.pending:
                pool_shares.confirmed, pool_shares.pending, pool_shares.has_table = (
                    pool_shares.pending,
                    None,
                    True,
                )
            pool_shares.usages = {usage.name: usage for usage in report.workspaces}

    def decide(self, config: FleetConfig, lowered_in: Mapping[str, int], now_s: float) -> None:
        """Decide the next tables of the pools that have confirmed their last ones."""
        pools = config.list_working_pools()
        self._pools = {
            pool: pool_shares for pool, pool_shares in self._pools.items() if pool in pools
        }
        have_all_reported = len(self._pools) == len(pools)
        self._record_lowered_limits(config, lowered_in, have_all_reported)
        reserved = get_reserved_share(self._reserved_share, config)
        if have_all_reported:
            defaults = self._find_defaults()
            own_shares = self._allocate_all(config, reserved, defaults)
        elif now_s - self._started_at_s >= FIRST_REPORTS_WAIT_S:
            defaults = {
                pool: max(reserved, pool_shares.default_bound)
                for pool, pool_shares in self._pools.items()
            }
            unreported_count = len(pools) - len(self._pools)
            own_shares = {
                workspace: self._keep_shares(
                    workspace, limit, reserved, 1.0 - unreported_count * reserved
                )
                for workspace in self._list_workspaces_with_shares()
                if (limit := config.limits.get(workspace)) is not None
            }
        else:
            return
        for pool, pool_shares in self._pools.items():
            shares = {workspace: assigned[pool] for workspace, assigned in own_shares.items()}
            table = ShareTable(config.version, defaults[pool], shares)
            is_changed = table != pool_shares.confirmed or not pool_shares.has_table
            if pool_shares.pending is None and is_changed:
                pool_shares.pending = table
        self._log_changes(own_shares)

    def _record_lowered_limits(
        self, config: FleetConfig, lowered_in: Mapping[str, int], have_all_reported: bool
    ) -> None:
        """Track the workspaces that may use more than their lowered limit."""
        for workspace, version in lowered_in.items():
            if self._lowered_in.get(workspace) != version:
                self._lowered_in[workspace] = self._unsettled[workspace] = version
        self._unsettled = {
            workspace: version
            for workspace, version in self._unsettled.items()
            if workspace in config.limits
            and not (have_all_reported and self._has_settled(workspace, version))
        }

    def _has_settled(self, workspace: str, version: int) -> bool:
        return all(
            pool_shares.has_settled(workspace, version) for pool_shares in self._pools.values()
        )

    def _list_workspaces_with_shares(self) -> set[str]:
        """Return the workspaces that have, or may need, shares of their own."""
        tables = (
            table
            for pool_shares in self._pools.values()
            for table in (pool_shares.assigned, pool_shares.confirmed)
        )
        with_shares = {workspace for table in tables for workspace in table.shares}
        reported = {name for pool_shares in self._pools.values() for name in pool_shares.usages}
        return with_shares | reported | self._unsettled.keys()

    def _find_defaults(self) -> dict[str, float]:
        """Return the next default share of each pool, for workspaces without own shares."""
        uses = {
            pool: PoolUsage(0.0, 0.0, 0.0, pool_shares.default_bound)
            for pool, pool_shares in self._pools.items()
        }
        return find_next_shares(uses, dict.fromkeys(uses, 1 / len(uses)), 1.0)

    def _keep_shares(
        self, workspace: str, limit: Resources, reserved: float, available: float
    ) -> dict[str, float]:
        """Return the pools' current shares, raised to the reserved one within ``available``.

        All are 0 if the pools hold more than that, which shows a limit lowered earlier.  While a
        lowered limit is unsettled, only pools that apply that version of it keep their share.
        """
        version = self._unsettled.get(workspace)
        if version is None:
            uses = {
                pool: _make_usage(
                    pool_shares.usages.get(workspace, WorkspaceUsage(workspace, (0, 0, 0))),
                    limit,
                    pool_shares.get_bound(workspace),
                )
                for pool, pool_shares in self._pools.items()
            }
            if sum(use.held for use in uses.values()) > available + SHARE_TOLERANCE:
                return dict.fromkeys(uses, 0.0)
            targets = {pool: max(reserved, use.bound) for pool, use in uses.items()}
            return find_next_shares(uses, targets, available)
        return {
            pool: pool_shares.get_bound(workspace)
            if pool_shares.confirmed.config_version >= version
            else 0.0
            for pool, pool_shares in self._pools.items()
        }

    def _allocate_all(
        self, config: FleetConfig, reserved: float, defaults: Mapping[str, float]
    ) -> dict[str, dict[str, float]]:
        """Return, by workspace that needs its own shares, the share of each pool."""
        own_shares: dict[str, dict[str, float]] = {}
        for workspace in sorted(self._list_workspaces_with_shares()):
            limit = config.limits.get(workspace)
            if limit is None:
                continue
            if workspace in self._unsettled:
                own_shares[workspace] = dict.fromkeys(self._pools, 0.0)
                continue
            assigned = self._allocate(workspace, limit, reserved)
            if not self._can_use_default_shares(workspace, limit, assigned, defaults):
                own_shares[workspace] = assigned
        return own_shares

    def _allocate(self, workspace: str, limit: Resources, reserved: float) -> dict[str, float]:
        """Allocate a workspace's limit to the pools that report usage; others keep their share."""
        uses = {
            pool: _make_usage(
                pool_shares.usages[workspace], limit, pool_shares.get_bound(workspace)
            )
            for pool, pool_shares in self._pools.items()
            if workspace in pool_shares.usages
        }
        assigned = {
            pool: pool_shares.get_bound(workspace) for pool, pool_shares in self._pools.items()
        }
        if uses:
            available = 1.0 - sum(share for pool, share in assigned.items() if pool not in uses)
            assigned |= find_next_shares(
                uses, allocate_shares(uses, available, reserved), available
            )
        return assigned

    def _can_use_default_shares(
        self,
        workspace: str,
        limit: Resources,
        assigned: Mapping[str, float],
        defaults: Mapping[str, float],
    ) -> bool:
        """Tell whether a workspace no longer needs shares of its own."""
        even = 1 / len(self._pools)
        return all(
            abs(assigned[pool] - even) < SHARE_TOLERANCE
            and abs(pool_shares.get_bound(workspace) - even) < SHARE_TOLERANCE
            and abs(defaults[pool] - even) < SHARE_TOLERANCE
            and (
                workspace not in pool_shares.usages
                or _is_low_use(_make_usage(pool_shares.usages[workspace], limit, even))
            )
            for pool, pool_shares in self._pools.items()
        )

    def _log_changes(self, own_shares: Mapping[str, Mapping[str, float]]) -> None:
        """Log the allocation of each limit that has changed."""
        rounded = {
            workspace: {pool: round(share, 2) for pool, share in assigned.items()}
            for workspace, assigned in own_shares.items()
        }
        for workspace in rounded.keys() | self._logged.keys():
            assigned = rounded.get(workspace)
            if assigned != self._logged.get(workspace):
                self._events.gather(
                    "workspace_shares",
                    by={"workspace": workspace},
                    shares=assigned,
                    is_unsettled=workspace in self._unsettled,
                )
        self._logged = rounded


def _make_usage(usage: WorkspaceUsage, limit: Resources, bound: float) -> PoolUsage:
    used, waiting, held_back = (
        Resources(*amount).get_utilization(limit)
        for amount in (usage.used, usage.waiting, usage.held_back)
    )
    return PoolUsage(used, waiting, held_back, bound)


def _is_low_use(use: PoolUsage) -> bool:
    return not use.held_back and use.used + use.waiting <= LOW_USE_FRACTION * use.bound
