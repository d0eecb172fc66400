"""Gauges of what the pools owned by a node still have in evacuated data halls."""

from collections.abc import Callable
from typing import Final

from robinthread._internal.jobs.evacuated_halls import PoolRemainder
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.telemetry.node_metrics import NodeMetrics

LABEL: Final = "pool_and_hall"


def register_evacuation_gauges(metrics: NodeMetrics, owned: OwnedPools) -> None:
    """Register the gauges; their values are by ``pool/hall``."""

    def read(get_count: Callable[[PoolRemainder], int]) -> dict[str, float]:
        return {
            f"{pool}/{hall}": get_count(remainder)
            for pool, owner in owned.owners.items()
            for hall, remainder in owner.evacuations.count_remaining().items()
        }

    metrics.register_gauge("evacuated_hosts", LABEL, lambda: read(lambda left: left.host_count))
    metrics.register_gauge("evacuated_runs", LABEL, lambda: read(lambda left: left.run_count))
    metrics.register_gauge(
        "evacuated_lasting_tasks", LABEL, lambda: read(lambda left: left.lasting_count)
    )
    metrics.register_gauge("evacuated_last_start_seconds", LABEL, lambda: _read_last_starts(owned))


def _read_last_starts(owned: OwnedPools) -> dict[str, float]:
    return {
        f"{pool}/{hall}": last_start_s
        for pool, owner in owned.owners.items()
        for hall, last_start_s in owner.evacuations.get_last_starts_s().items()
    }
