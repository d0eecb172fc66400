"""Sizes of pools that need more hosts than there are, from the work that their owners report."""

from collections.abc import Iterator, Mapping
from itertools import chain
from typing import Final

from robinthread._internal.fleet.fleet_view import FleetView, PoolView
from robinthread._internal.fleet.host_allotment import (
    HORIZON_S,
    PoolWork,
    StartWork,
    allot_hosts,
)
from robinthread._internal.fleet.host_counts import count_awaited
from robinthread._internal.fleet.pool_report import HostStatus
from robinthread._internal.fleet.sizing import (
    PoolSize,
    get_host_ratio,
    get_lasting_count,
    get_minimum_count,
)
from robinthread._internal.models.open_work import ExpectedWork, OpenWork, PoolWorkReport
from robinthread._internal.models.resources import Resources

# Time from the order of a move until the host runs its first task: the move, the host's entry in
# the store and the first poll.
LEAD_S: Final = 1.8
# Time until a host is empty that a process of an older version does not report.
UNKNOWN_EMPTY_S: Final = 2.0
# Expected arrivals are summed over spans of this length.
ARRIVAL_STEP_S: Final = 0.5


def size_by_work(
    view: FleetView, wanted: Mapping[str, PoolSize], capacity: Resources, free_count: int
) -> dict[str, PoolSize]:
    """Return the sizes that pools may have, if they want more hosts than there are.

    A pool without a report of its work keeps its hosts and gets hosts from the reserve only.
    """
    pools = {pool.name: pool for pool in view.pools if pool.report.work is not None}
    works = [
        _make_work(view, pool, pool.report.work, capacity)
        for pool in pools.values()
        if pool.report.work is not None
    ]
    counts = allot_hosts(works, free_count, LEAD_S)
    held = {work.name: work.host_count for work in works}
    return {
        name: _limit(size, counts[name], held[name]) if name in counts else size
        for name, size in wanted.items()
    }


def _limit(size: PoolSize, count: int, held_count: int) -> PoolSize:
    """Return the size of a pool that should have ``count`` hosts and has ``held_count``.

    A pool that gets no host still gives up those that it does not want.
    """
    keep_count = count if count > held_count else min(count, size.keep_count)
    return PoolSize(min(count, keep_count), keep_count, size.shortage_count)


def _make_work(
    view: FleetView, pool: PoolView, report: PoolWorkReport, capacity: Resources
) -> PoolWork:
    """Return a pool's work and hosts, for machines of a ``capacity``."""
    present = [host for host in pool.hosts if host.is_usable and host.machine not in view.leaving]
    releasable = [host for host in present if not host.lasting_count and not host.is_needed]
    waiting = (_make_start_work(work, capacity) for work in report.on_time)
    expected = () if report.expected is None else _iter_expected(report.expected, capacity)
    return PoolWork(
        pool.name,
        on_time=tuple(sorted(chain(waiting, expected), key=lambda work: work.start_by_s)),
        late_host_s=get_host_ratio(report.late, capacity),
        empty_in_s=tuple(sorted(get_empty_s(host) for host in releasable)),
        fixed_count=len(present) - len(releasable),
        arriving_count=len(pool.arriving) + count_awaited(view, pool),
        lasting_count=get_lasting_count(pool.report, capacity),
        minimum_count=get_minimum_count(pool.report, capacity),
    )


def _make_start_work(work: OpenWork, capacity: Resources) -> StartWork:
    return StartWork(
        start_by_s=work.start_in_ms / 1000,
        host_s=get_host_ratio(work.work, capacity),
        task_s=work.task_ms / 1000,
        worth=work.worth,
    )


def get_empty_s(host: HostStatus) -> float:
    """Return the time until a host could be empty, in seconds."""
    if not host.run_count:
        return 0.0
    return UNKNOWN_EMPTY_S if host.empty_in_ms is None else host.empty_in_ms / 1000


def _iter_expected(expected: ExpectedWork, capacity: Resources) -> Iterator[StartWork]:
    """Iterate over the work that arrives within ``HORIZON_S``, by spans of arrival."""
    rate = get_host_ratio(expected.work_per_s, capacity)
    for number in range(round(HORIZON_S / ARRIVAL_STEP_S)):
        start_by_s = (number + 0.5) * ARRIVAL_STEP_S + expected.start_in_ms / 1000
        yield StartWork(start_by_s, rate * ARRIVAL_STEP_S, expected.task_ms / 1000)
