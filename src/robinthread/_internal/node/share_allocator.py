"""Keeping, at the steward, what each pool may let each workspace take."""

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

# A new steward that has not heard all pools waits so long before it gives those that it heard
# the part that is never lent: most owners of lost pools are there by then, and a task of a
# workspace that is under half of its limit may wait 3 s at most.
FIRST_REPORTS_WAIT_S: Final = 1.0
# Shares that differ by less are the same.
USUAL_WITHIN: Final = 1e-6
# A workspace that takes no more of its even share in each pool needs no shares of its own.
USUAL_PART: Final = 0.4


@dataclass
class _PoolShares:
    """What a pool may hold: what it ``confirmed`` last, and what it was told since.

    One that ``was_told`` nothing yet may hold what is never lent, and is not told that yet.
    """

    confirmed: ShareTable
    was_told: bool
    pending: ShareTable | None = None
    standings: Mapping[str, WorkspaceUsage] = field(default_factory=dict)

    @property
    def order(self) -> ShareTable | None:
        """Return the shares to send."""
        return self.told if self.was_told or self.pending is not None else None

    @property
    def told(self) -> ShareTable:
        """Return what the pool is to go by."""
        return self.pending or self.confirmed

    @property
    def default_bound(self) -> float:
        """Return the most that the pool may let a workspace take that has no share of its own."""
        return max(self.confirmed.default, self.told.default)

    def get_bound(self, workspace: str) -> float:
        """Return the most that the pool may let a workspace take."""
        return max(self.confirmed.get(workspace), self.told.get(workspace))

    def has_settled(self, workspace: str, version: int) -> bool:
        """Tell whether the pool goes by a share of that version, and has told what is taken."""
        is_bound = self.pending is None and self.confirmed.config_version >= version
        return is_bound and workspace in self.confirmed.shares and workspace in self.standings


class ShareAllocator:
    """Deals out the limits of workspaces over the pools, under the steward's token.

    A pool is heard once it has answered under this token: it then heeds no earlier steward,
    and what it may hold is known.  Until all are heard nothing is lent.  Of a workspace whose
    limit has fallen nothing is begun until all pools have told what they hold.
    """

    def __init__(self, token: int, kept_share: float, began_at_s: float, events: EventLog) -> None:
        self._token = token
        self._kept_share = kept_share
        self._began_at_s = began_at_s
        self._events = events
        self._number = 0
        self._pools: dict[str, _PoolShares] = {}
        self._fell_in: dict[str, int] = {}
        self._unsettled: dict[str, int] = {}
        self._written: dict[str, dict[str, float]] = {}

    def make_order(self, pool: str, config: FleetConfig) -> ShareOrder | None:
        """Return what to tell a pool now, or None where no workspace has a limit."""
        if not config.limits and not self._pools:
            return None
        self._number += 1
        known = self._pools.get(pool)
        return ShareOrder(self._token, self._number, None if known is None else known.order)

    def record_reports(self, config: FleetConfig, reports: Mapping[str, PoolReport]) -> None:
        """Take in what pools answered to their last orders."""
        untold = ShareTable(0, get_reserved_share(self._kept_share, config))
        for pool, report in reports.items():
            state = report.share_state
            if state is None or state.token != self._token:
                continue
            known = self._pools.get(pool)
            if known is None:
                known = _PoolShares(state.table or untold, was_told=state.table is not None)
                self._pools[pool] = known
            elif known.pending is not None and state.table == known.pending:
                known.confirmed, known.pending, known.was_told = known.pending, None, True
            known.standings = {standing.name: standing for standing in report.workspaces}

    def decide(self, config: FleetConfig, fell_in: Mapping[str, int], now_s: float) -> None:
        """Decide what the pools that have confirmed their last shares are told next."""
        pools = config.list_working_pools()
        self._pools = {pool: known for pool, known in self._pools.items() if pool in pools}
        are_all_heard = len(self._pools) == len(pools)
        self._note_fallen(config, fell_in, are_all_heard)
        kept = get_reserved_share(self._kept_share, config)
        if are_all_heard:
            defaults = self._find_defaults()
            named = self._deal_all(config, kept, defaults)
        elif now_s - self._began_at_s >= FIRST_REPORTS_WAIT_S:
            defaults = {pool: max(kept, known.default_bound) for pool, known in self._pools.items()}
            unheard_count = len(pools) - len(self._pools)
            named = {
                workspace: self._keep(workspace, limit, kept, 1.0 - unheard_count * kept)
                for workspace in self._list_named()
                if (limit := config.limits.get(workspace)) is not None
            }
        else:
            return
        for pool, known in self._pools.items():
            shares = {workspace: told[pool] for workspace, told in named.items()}
            table = ShareTable(config.version, defaults[pool], shares)
            is_news = table != known.confirmed or not known.was_told
            if known.pending is None and is_news:
                known.pending = table
        self._tell(named)

    def _note_fallen(
        self, config: FleetConfig, fell_in: Mapping[str, int], are_all_heard: bool
    ) -> None:
        """Note of which workspaces more may run than their limit allows."""
        for workspace, version in fell_in.items():
            if self._fell_in.get(workspace) != version:
                self._fell_in[workspace] = self._unsettled[workspace] = version
        self._unsettled = {
            workspace: version
            for workspace, version in self._unsettled.items()
            if workspace in config.limits
            and not (are_all_heard and self._has_settled(workspace, version))
        }

    def _has_settled(self, workspace: str, version: int) -> bool:
        return all(known.has_settled(workspace, version) for known in self._pools.values())

    def _list_named(self) -> set[str]:
        """List the workspaces that have a share of their own, or are to have one."""
        tables = (
            table for known in self._pools.values() for table in (known.told, known.confirmed)
        )
        named = {workspace for table in tables for workspace in table.shares}
        told_of = {name for known in self._pools.values() for name in known.standings}
        return named | told_of | self._unsettled.keys()

    def _find_defaults(self) -> dict[str, float]:
        """Return what each pool is told of the workspaces that have no share of their own."""
        uses = {
            pool: PoolUsage(0.0, 0.0, 0.0, known.default_bound)
            for pool, known in self._pools.items()
        }
        return find_next_shares(uses, dict.fromkeys(uses, 1 / len(uses)), 1.0)

    def _keep(self, workspace: str, limit: Resources, kept: float, room: float) -> dict[str, float]:
        """Have each pool keep its share, and what is never lent where there is ``room`` for it.

        There is none where the limit fell, as far as that is known here, or as pools tell.
        """
        version = self._unsettled.get(workspace)
        if version is None:
            uses = {
                pool: _make_use(
                    known.standings.get(workspace, WorkspaceUsage(workspace, (0, 0, 0))),
                    limit,
                    known.get_bound(workspace),
                )
                for pool, known in self._pools.items()
            }
            if sum(use.held for use in uses.values()) > room + USUAL_WITHIN:
                return dict.fromkeys(uses, 0.0)
            targets = {pool: max(kept, use.bound) for pool, use in uses.items()}
            return find_next_shares(uses, targets, room)
        return {
            pool: known.get_bound(workspace) if known.confirmed.config_version >= version else 0.0
            for pool, known in self._pools.items()
        }

    def _deal_all(
        self, config: FleetConfig, kept: float, defaults: Mapping[str, float]
    ) -> dict[str, dict[str, float]]:
        """Return what the pools are told of each workspace that has, or needs, its own shares."""
        named: dict[str, dict[str, float]] = {}
        for workspace in sorted(self._list_named()):
            limit = config.limits.get(workspace)
            if limit is None:
                continue
            if workspace in self._unsettled:
                named[workspace] = dict.fromkeys(self._pools, 0.0)
                continue
            told = self._deal(workspace, limit, kept)
            if not self._is_usual(workspace, limit, told, defaults):
                named[workspace] = told
        return named

    def _deal(self, workspace: str, limit: Resources, kept: float) -> dict[str, float]:
        """Deal a workspace's limit out to the pools that told of it; the others keep theirs."""
        uses = {
            pool: _make_use(known.standings[workspace], limit, known.get_bound(workspace))
            for pool, known in self._pools.items()
            if workspace in known.standings
        }
        told = {pool: known.get_bound(workspace) for pool, known in self._pools.items()}
        if uses:
            room = 1.0 - sum(share for pool, share in told.items() if pool not in uses)
            told |= find_next_shares(uses, allocate_shares(uses, room, kept), room)
        return told

    def _is_usual(
        self,
        workspace: str,
        limit: Resources,
        told: Mapping[str, float],
        defaults: Mapping[str, float],
    ) -> bool:
        """Tell whether a workspace needs no shares of its own any more."""
        even = 1 / len(self._pools)
        return all(
            abs(told[pool] - even) < USUAL_WITHIN
            and abs(known.get_bound(workspace) - even) < USUAL_WITHIN
            and abs(defaults[pool] - even) < USUAL_WITHIN
            and (
                workspace not in known.standings
                or _is_small(_make_use(known.standings[workspace], limit, even))
            )
            for pool, known in self._pools.items()
        )

    def _tell(self, named: Mapping[str, Mapping[str, float]]) -> None:
        """Write how limits are dealt out where that has changed."""
        rounded = {
            workspace: {pool: round(share, 2) for pool, share in told.items()}
            for workspace, told in named.items()
        }
        for workspace in rounded.keys() | self._written.keys():
            told = rounded.get(workspace)
            if told != self._written.get(workspace):
                self._events.gather(
                    "workspace_shares",
                    by={"workspace": workspace},
                    shares=told,
                    is_unsettled=workspace in self._unsettled,
                )
        self._written = rounded


def _make_use(standing: WorkspaceUsage, limit: Resources, bound: float) -> PoolUsage:
    used, waiting, held_back = (
        Resources(*room).get_utilization(limit)
        for room in (standing.used, standing.waiting, standing.held_back)
    )
    return PoolUsage(used, waiting, held_back, bound)


def _is_small(use: PoolUsage) -> bool:
    return not use.held_back and use.used + use.waiting <= USUAL_PART * use.bound
