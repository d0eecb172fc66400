"""Cost of allocating workspace limits on a steward: ``python -m bench.share_slopes``."""

import time

import msgspec

from robinthread._internal.fleet.pool_report import PoolReport
from robinthread._internal.models.fleet_config import FleetConfig, make_fleet_config
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.workspace_policy import WorkspacePolicy
from robinthread._internal.models.workspace_shares import ShareState, WorkspaceUsage
from robinthread._internal.node.share_allocator import ShareAllocator
from robinthread._internal.telemetry.event_log import EventLog

# Number of pools, and of workspaces whose demand exceeds their even share in every pool.
SIZES = ((4, 0), (4, 20), (144, 0), (144, 20))
WORKSPACES = 270
LIMIT = Resources(1_000_000, 0)
STEPS = 6


def measure(pool_count: int, active_count: int) -> tuple[float, int]:
    """Return the duration of the steward's longest step in ms, and the bytes of an order."""
    pools = tuple(PoolPolicy(f"pool-{number}") for number in range(pool_count))
    names = [f"workspace-{number}" for number in range(WORKSPACES)]
    config = make_fleet_config(
        1, (), pools, 1000, tuple(WorkspacePolicy(name, limit=LIMIT) for name in names)
    )
    usages = tuple(
        WorkspaceUsage(name, (5_000, 0, 0), (90_000, 0, 0), (2_000, 0, 0))
        for name in names[:active_count]
    )
    allocator = ShareAllocator(1, 0.2, 0.0, EventLog("bench", lambda line: None))
    took_s = max(_take_step(allocator, config, usages) for _ in range(STEPS))
    order = allocator.make_order(pools[0].name, config)
    return took_s * 1000, len(msgspec.msgpack.encode(order))


def _take_step(
    allocator: ShareAllocator,
    config: FleetConfig,
    usages: tuple[WorkspaceUsage, ...],
) -> float:
    orders = {pool: allocator.make_order(pool, config) for pool in config.list_working_pools()}
    reports = {
        pool: PoolReport(
            True,
            share_state=ShareState(order.token, order.number, order.table),
            workspaces=usages,
        )
        for pool, order in orders.items()
        if order is not None
    }
    began_at_s = time.process_time()
    allocator.record_reports(config, reports)
    allocator.decide(config, {}, 0.0)
    return time.process_time() - began_at_s


if __name__ == "__main__":
    for size in SIZES:
        took_ms, order_bytes = measure(*size)
        print(f"{size[0]} pools, {size[1]} wanting: {took_ms:.2f} ms, {order_bytes} bytes")
