"""Configuration that the operators have published."""

from dataclasses import dataclass, field
from typing import Final

from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.models.workspace_policy import WorkspacePolicy, digest_key

# Largest header of a caller's request, where the operators have not set one.
HEADER_MAX_BYTES: Final = 16_384


@dataclass(frozen=True)
class FleetConfig:
    """One complete version of the configuration; version numbers increase.

    ``limits`` has the resource limits by workspace, without workspaces that have none.
    """

    version: int
    queues: dict[str, QueuePolicy]
    pools: dict[str, PoolPolicy]
    body_max_bytes: int
    queues_by_host: dict[str, tuple[QueuePolicy, ...]] = field(default_factory=dict)
    workspaces: dict[str, WorkspacePolicy] = field(default_factory=dict)
    workspace_by_digest: dict[bytes, str] = field(default_factory=dict)
    limits: dict[str, Resources] = field(default_factory=dict)
    header_max_bytes: int = HEADER_MAX_BYTES

    def find_queue(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue of ``host`` with the longest matching prefix of ``path``, or None."""
        queues = self.queues_by_host.get(host, ())
        return next((queue for queue in queues if path.startswith(queue.path_prefix)), None)

    def list_working_pools(self) -> list[str]:
        """List the names of the pools that run jobs, which are all except the reserve."""
        return [pool.name for pool in self.pools.values() if not pool.is_reserve]

    @property
    def may_allot_by_work(self) -> bool:
        """Return whether hosts are allotted by work when they are short, if the policy says so."""
        return bool(self.workspaces) and any(pool.is_reserve for pool in self.pools.values())

    def find_workspace(self, key: str) -> str | None:
        """Return the workspace that a key authenticates, or None for an unknown key."""
        return self.workspace_by_digest.get(digest_key(key))


def make_fleet_config(
    version: int,
    queues: tuple[QueuePolicy, ...],
    pools: tuple[PoolPolicy, ...],
    body_max_bytes: int,
    workspaces: tuple[WorkspacePolicy, ...] = (),
    header_max_bytes: int = HEADER_MAX_BYTES,
) -> FleetConfig:
    """Make a configuration; the queues of a host are sorted by descending length of prefix."""
    queues_by_host: dict[str, list[QueuePolicy]] = {}
    for queue in sorted(queues, key=lambda queue: -len(queue.path_prefix)):
        queues_by_host.setdefault(queue.host, []).append(queue)
    return FleetConfig(
        version,
        {queue.name: queue for queue in queues},
        {pool.name: pool for pool in pools},
        body_max_bytes,
        {host: tuple(host_queues) for host, host_queues in queues_by_host.items()},
        {workspace.name: workspace for workspace in workspaces},
        {digest: workspace.name for workspace in workspaces for digest in workspace.key_digests},
        {policy.name: policy.limit for policy in workspaces if policy.limit != NO_RESOURCES},
        header_max_bytes,
    )
