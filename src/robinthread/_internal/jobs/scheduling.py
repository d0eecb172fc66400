"""Placing all waiting tasks that fit somewhere."""

from collections.abc import Collection, Iterator

from robinthread._internal.jobs.capacity_reservation import CapacityReserver
from robinthread._internal.jobs.gangs import place_gang
from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.placement import (
    choose_host,
    get_usable_hosts,
    is_still_best_host,
    sort_waiting,
)
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.suspects import place_suspects
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.step_key import StepKey


def place_waiting(pool: PoolJobs, now_s: float, now_ms: int) -> int:
    """Place the tasks that fit somewhere, most urgent first; return how many.

    In a full pool this costs a look at each host and each waiting task, no more: hosts
    without room for the smallest task are left out, and of a step that found no host no
    other task is tried.  Tasks of a step follow each other to a host until it is full.
    A host that is kept for a lasting task gets none that comes after it.  Lasting tasks
    that are overdue come before all others, as far as the keeper takes them.  Suspects of
    having crashed their hosts are started apart from all these, and first.  A workspace whose
    share of its limit is taken begins nothing, and no host is kept for it.
    """
    pool.workspaces.held_back.clear()
    if not pool.waiting:
        return 0
    placed = place_suspects(pool, now_s, now_ms)
    if not pool.waiting:
        return placed
    smallest = _get_smallest_request(pool.waiting.values())
    usable = get_usable_hosts(pool, now_s)
    hosts = [host for host in usable if smallest.fits_in(host.free)]
    if not hosts:
        return placed
    last: tuple[Task, Host] | None = None
    unplaceable_steps: set[StepKey] = set()
    reserver = CapacityReserver(pool, now_s)
    for task in _iter_in_order(pool, reserver, usable, hosts, now_ms):
        if not hosts:
            break
        if task.key not in pool.waiting or task.key in pool.reserved_host_ids:
            # It has been placed, with its gang or as overdue, or a host is kept for it.
            continue
        if pool.is_withheld(task) or not pool.fits_workspace_limit(task):
            continue
        if task.key.step_key in unplaceable_steps:
            reserver.reserve_for(task, hosts)
            continue
        if task.step.is_gang:
            free = [host for host in usable if host.id not in reserver.reserved]
            gang_count = place_gang(pool, task, free, now_s)
            if not gang_count:
                reserver.reserve_for_gang(task)
            placed += gang_count
            hosts[:] = [
                host
                for host in hosts
                if smallest.fits_in(host.free) and host.id not in reserver.reserved
            ]
            unplaceable_steps.add(task.key.step_key)
            continue
        if last is not None and is_still_best_host(task, *last):
            host: Host | None = last[1]
        else:
            host = choose_host(pool, task, hosts, now_s)
        if host is None:
            if not task.runs:
                unplaceable_steps.add(task.key.step_key)
                reserver.reserve_for(task, hosts)
            continue
        pool.place(task, host)
        placed += 1
        last = task, host
        if not smallest.fits_in(host.free):
            hosts.remove(host)
    return placed


def _iter_in_order(
    pool: PoolJobs, reserver: CapacityReserver, usable: list[Host], hosts: list[Host], now_ms: int
) -> Iterator[Task]:
    """Iterate over the overdue tasks, then over all in their usual order while hosts are left.

    Putting all in order costs most of a look, and is spared where every host with room is kept.
    """
    yield from reserver.iter_overdue(usable)
    if hosts:
        yield from sort_waiting(pool, now_ms)


def _get_smallest_request(tasks: Collection[Task]) -> Resources:
    """Return, of each kind of room, the least that any of the tasks takes."""
    requests = [task.resources for task in tasks]
    return Resources(
        min(request.cpu_millicores for request in requests),
        min(request.memory_mb for request in requests),
        min(request.gpu_count for request in requests),
    )
