"""What workspaces take in one pool, and what they may take there."""

from collections.abc import Collection, Mapping
from typing import Final

from robinthread._internal.models.fleet_config import FleetConfig
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.models.workspace_shares import (
    ShareOrder,
    ShareState,
    WorkspaceUsage,
)

# A workspace is told of that takes more than this part of its share here: before it needs more.
REPORTED_FROM_FRACTION: Final = 0.5
# Of a limit: shares are sums, and a sum is to hold all of its parts.
ROUNDING_TOLERANCE: Final = 1e-9


class WorkspaceLimiter:
    """Room that workspaces' runs take in a pool, and the share of its limit that each may take.

    All that may be running counts: what was recorded before it was sent, also by earlier
    owners, until its end is known.  ``held_back`` are the workspaces whose tasks would have
    begun in the last look, with what the first of them takes.  ``default_share`` may be used
    where no steward has told any share.
    """

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}
        self._limits: Mapping[str, Resources] = {}
        self._lowered_in: Mapping[str, int] = {}
        self._state = ShareState()
        self.held_back: dict[str, Resources] = {}
        self.default_share = 0.0

    def set_limits(self, config: FleetConfig, lowered_in: Mapping[str, int]) -> None:
        """Take the limits in force, and the versions in which limits last fell."""
        self._lowered_in = lowered_in
        self._limits = config.limits

    def record_start(self, workspace: str, resources: Resources) -> None:
        """Note that a run may begin from now on."""
        if workspace:
            self._used[workspace] = self.get_used(workspace) + resources

    def record_end(self, workspace: str, resources: Resources) -> None:
        """Note that a run has surely ended, or never began and never will."""
        if workspace:
            self._used[workspace] = self.get_used(workspace) - resources

    def get_used(self, workspace: str) -> Resources:
        """Return what a workspace takes here."""
        return self._used.get(workspace, NO_RESOURCES)

    def get_limit(self, workspace: str) -> Resources | None:
        """Return what a workspace may take in all pools, or None where nothing limits it."""
        return self._limits.get(workspace)

    def get_share(self, workspace: str) -> float:
        """Return the share of a workspace's limit that it may take here.

        One from before the limit fell says nothing: other pools may hold more than all of it.
        """
        table = self._state.table
        if table is None:
            return 0.0 if workspace in self._lowered_in else self.default_share
        if table.config_version < self._lowered_in.get(workspace, 0):
            return 0.0
        return table.get(workspace)

    def has_capacity(self, workspace: str, resources: Resources) -> bool:
        """Tell whether a workspace may begin what takes so much room."""
        limit = self._limits.get(workspace)
        if limit is None:
            return True
        return (self.get_used(workspace) + resources).get_utilization(limit) <= self.get_share(
            workspace
        ) + ROUNDING_TOLERANCE

    def record_held_back(self, workspace: str, resources: Resources) -> None:
        """Note that something is not begun for want of a share."""
        self.held_back.setdefault(workspace, resources)

    def apply_order(self, order: ShareOrder | None) -> ShareState:
        """Take shares from the steward; return those in force.

        None of an earlier steward counts once a later one was heard, nor any that was
        overtaken by a newer one.
        """
        if order is not None and (order.token, order.number) > (
            self._state.token,
            self._state.number,
        ):
            table = self._state.table if order.table is None else order.table
            self._state = ShareState(order.token, order.number, table)
        return self._state

    def list_usage(self, waiting: Mapping[str, Resources]) -> tuple[WorkspaceUsage, ...]:
        """Tell of the workspaces that are near their share or whose share is a set one.

        ``waiting`` is what the tasks that wait would take, by workspace.
        """
        return tuple(
            WorkspaceUsage(
                name,
                self.get_used(name).astuple(),
                waiting.get(name, NO_RESOURCES).astuple(),
                self.held_back.get(name, NO_RESOURCES).astuple(),
            )
            for name in self.list_reported()
        )

    def get_used_fractions(self) -> dict[str, float]:
        """Return which part of its limit each workspace that has one takes here."""
        return {
            name: self._used[name].get_utilization(limit)
            for name, limit in self._limits.items()
            if name in self._used
        }

    def list_reported(self) -> Collection[str]:
        """List the workspaces that the steward must hear of."""
        table = self._state.table
        named = set(self.held_back) if table is None else {*self.held_back, *table.shares}
        near = {
            name
            for name, used in self._used.items()
            if name in self._limits
            and used.get_utilization(self._limits[name])
            > REPORTED_FROM_FRACTION * self.get_share(name)
        }
        return sorted(named & self._limits.keys() | near)
