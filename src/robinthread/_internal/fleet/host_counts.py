"""Counts of the hosts that pools have, expect and lack."""

from robinthread._internal.fleet.fleet_view import FleetView, PoolView
from robinthread._internal.fleet.reserve import list_unmet_shortages
from robinthread._internal.fleet.sizing import PoolSize
from robinthread._internal.models.resources import Resources


def count_serving(pool: PoolView, vacating: frozenset[str], leaving: frozenset[str]) -> int:
    """Return how many hosts serve a pool and stay, and machines that are arriving."""
    serving = sum(
        host.is_usable and host.machine not in vacating and host.machine not in leaving
        for host in pool.hosts
    )
    return serving + len(pool.arriving)


def count_awaited(view: FleetView, pool: PoolView) -> int:
    """Return how many hosts are expected to respond soon, and so need no replacement.

    They do not count as serving, so the pool releases no host because of them before they respond.
    """
    return sum(
        host.is_awaited
        and host.machine not in view.leaving
        and pool.machines[host.machine].hall not in view.silent_halls
        for host in pool.hosts
    )


def count_missing(
    view: FleetView, pool: PoolView, size: PoolSize, vacating: frozenset[str], capacity: Resources
) -> int:
    """Return how many hosts a pool lacks that any machine of a ``capacity`` could provide."""
    shortages = list_unmet_shortages(pool.report.shortages, pool.arriving)
    missing = sum(
        shortage.count
        for shortage in shortages
        if not shortage.label and Resources(*shortage.resources).fits_in(capacity)
    )
    serving = count_serving(pool, vacating, view.leaving) + count_awaited(view, pool)
    return max(0, size.fetch_count - serving, missing)


def count_all(view: FleetView) -> int:
    """Return how many hosts all pools could have together, with the free ones of the reserve."""
    serving = sum(count_serving(pool, frozenset(), view.leaving) for pool in view.pools)
    awaited = sum(count_awaited(view, pool) for pool in view.pools)
    return serving + awaited + count_free(view)


def count_free(view: FleetView) -> int:
    """Return how many machines of the reserve may move to a pool."""
    return sum(
        machine.name not in view.ordered and machine.hall not in view.evacuated_halls
        for machine in view.reserve
    )
