"""Usage of workspaces in one pool, and the shares of their limits that bound it."""

from collections.abc import Collection, Mapping
from typing import Final

from robinthread._internal.models.fleet_config import FleetConfig
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.models.workspace_shares import (
    ShareOrder,
    ShareState,
    WorkspaceUsage,
)

# A workspace that uses more than this fraction of its share in the pool is reported to the
# steward, so that its share can grow before it is used up.
REPORTED_FROM_FRACTION: Final = 0.5
# Tolerance, as a fraction of the limit, for rounding errors of shares, which are sums: a share
# must be large enough for all parts that it is the sum of.
ROUNDING_TOLERANCE: Final = 1e-9


class WorkspaceLimiter:
    """Tracks the resources that workspaces' runs use in a pool, and enforces their shares.

    Every run that may be running counts: from the time it was recorded, before it was sent, also
    by earlier owners, until its end is known.  ``held_back`` maps the workspaces whose tasks were
    not started in the last scheduling pass, for lack of a share, to the resources of the first
    such task.  ``default_share`` applies until a steward has sent shares.  While
    ``are_limits_known`` is False, no workspace may start a run, as any may have a limit.
    """

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}
        self._limits: Mapping[str, Resources] = {}
        self._lowered_in: Mapping[str, int] = {}
        self._state = ShareState()
        self.held_back: dict[str, Resources] = {}
        self.default_share = 0.0
        self.are_limits_known = True

    def set_limits(self, config: FleetConfig, lowered_in: Mapping[str, int]) -> None:
        """Set the limits in force, and the configuration versions that last lowered a limit."""
        self._lowered_in = lowered_in
        self._limits = config.limits

    def record_start(self, workspace: str, resources: Resources) -> None:
        """Count the resources of a run that may start from now on."""
        if workspace:
            self._used[workspace] = self.get_used(workspace) + resources

    def record_end(self, workspace: str, resources: Resources) -> None:
        """Stop counting the resources of a run that has certainly ended or will never start."""
        if workspace:
            self._used[workspace] = self.get_used(workspace) - resources

    def get_used(self, workspace: str) -> Resources:
        """Return the resources that a workspace uses in this pool."""
        return self._used.get(workspace, NO_RESOURCES)

    def get_limit(self, workspace: str) -> Resources | None:
        """Return a workspace's limit over all pools, or None if it has no limit."""
        return self._limits.get(workspace)

    def get_share(self, workspace: str) -> float:
        """Return the share of a workspace's limit that it may use in this pool.

        A share that was allocated before the limit was lowered is void, so it counts as 0: other
        pools may use more than the whole new limit.
        """
        table = self._state.table
        if table is None:
            return 0.0 if workspace in self._lowered_in else self.default_share
        if table.config_version < self._lowered_in.get(workspace, 0):
            return 0.0
        return table.get(workspace)

    def has_capacity(self, workspace: str, resources: Resources) -> bool:
        """Tell whether a workspace's share allows it to start a run with these resources."""
        if workspace and not self.are_limits_known:
            return False
        limit = self._limits.get(workspace)
        if limit is None:
            return True
        return (self.get_used(workspace) + resources).get_utilization(limit) <= self.get_share(
            workspace
        ) + ROUNDING_TOLERANCE

    def record_held_back(self, workspace: str, resources: Resources) -> None:
        """Record the first task of a workspace that is not started for lack of a share."""
        self.held_back.setdefault(workspace, resources)

    def apply_order(self, order: ShareOrder | None) -> ShareState:
        """Apply an order of shares from the steward; return the shares in force.

        Orders of an earlier steward than the last one, and orders that were overtaken by a newer
        one, are ignored.
        """
        if order is not None and (order.token, order.number) > (
            self._state.token,
            self._state.number,
        ):
            table = self._state.table if order.table is None else order.table
            self._state = ShareState(order.token, order.number, table)
        return self._state

    def list_usage(self, waiting: Mapping[str, Resources]) -> tuple[WorkspaceUsage, ...]:
        """Return the usage of the workspaces in ``list_reported``, for the steward.

        ``waiting`` are the resources that waiting tasks would use, by workspace.
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
        """Return the fraction of its limit that each limited workspace uses in this pool."""
        return {
            name: self._used[name].get_utilization(limit)
            for name, limit in self._limits.items()
            if name in self._used
        }

    def list_reported(self) -> Collection[str]:
        """List the limited workspaces whose usage is reported to the steward.

        These are the ones that were held back, that have a share of their own, or that use more
        than ``REPORTED_FROM_FRACTION`` of their share.
        """
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
