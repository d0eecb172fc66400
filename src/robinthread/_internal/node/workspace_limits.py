"""Application of the configuration's workspace limits to a pool."""

from typing import Final

from robinthread._internal.fleet.share_allocation import get_reserved_share
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s

# An owner that has received no shares of workspace limits from a steward waits this long, then
# uses its share of the part of each limit that is never lent to another pool.  The steward may be
# cut off from it, or lost too.
SHARES_AWAITED_MAX_S: Final = 1.0


def apply_workspace_limits(runtime: PoolRuntime) -> None:
    """Apply the workspace limits of the current configuration to a pool's jobs."""
    holder = runtime.context.config_holder
    workspaces = runtime.jobs.workspaces
    workspaces.are_limits_known = holder.config is not None
    if holder.config is None:
        return
    workspaces.set_limits(holder.config, holder.limit_lowered_in)
    if get_loop_s() - runtime.opened_at_s >= SHARES_AWAITED_MAX_S:
        reserved_share = runtime.context.policy.workspaces.kept_share
        workspaces.default_share = get_reserved_share(reserved_share, holder.config)
