"""The scheduling pass: places all waiting tasks that fit on a host."""

from collections.abc import Collection, Iterator

from robinthread._internal.jobs.capacity_reservation import CapacityReserver
from robinthread._internal.jobs.cold_hosts import may_start
from robinthread._internal.jobs.gangs import place_gang
from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.placement import (
    choose_host,
    get_usable_hosts,
    is_still_best_host,
    sort_waiting,
)
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.start_limits import can_send_soon
from robinthread._internal.jobs.suspects import place_suspects
from robinthread._internal.jobs.task import Task
from robinthread._internal.jobs.workspace_capacity import fits_workspace_limit
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.step_key import StepKey


def place_waiting(pool: PoolJobs, now_s: float, now_ms: int) -> int:
    """Place the waiting tasks that fit on a host, most urgent first; return how many.

    Tasks that are suspected of crashing hosts are placed first, on hosts of their own.  Overdue
    lasting tasks come next, as far as ``CapacityReserver`` allows.  A host that is reserved for a
    lasting task gets no task that comes later in the order.  Tasks of a workspace that has used
    up its share of its limit are not placed, and no host is reserved for them.  Nor are tasks
    whose last starts were rejected, for a while.

    In a full pool each host and each waiting task is visited only once: hosts without capacity
    for the smallest task are skipped, and so are the other tasks of a step once one has found no
    host.  Tasks of a step are placed on the same host until it is full.
    """
    pool.workspaces.held_back.clear()
    if not pool.waiting:
        return 0
    placed = place_suspects(pool, now_s, now_ms)
    if not pool.waiting:
        return placed
    smallest = _get_smallest_request(pool.waiting.values())
    usable = get_usable_hosts(pool, now_s)
    hosts = [host for host in usable if _can_take(pool, host, smallest, now_s)]
    if not hosts:
        return placed
    last: tuple[Task, Host] | None = None
    unplaceable_steps: set[StepKey] = set()
    reserver = CapacityReserver(pool, now_s)
    for task in _iter_in_order(pool, reserver, usable, hosts, now_ms):
        if not hosts:
            break
        if task.key not in pool.waiting or task.key in pool.reserved_host_ids:
            # Already placed, with its gang or as overdue, or a host is reserved for it.
            continue
        if pool.is_withheld(task) or _is_paused(pool, task, now_s):
            continue
        if not fits_workspace_limit(pool, task):
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
                if _can_take(pool, host, smallest, now_s) and host.id not in reserver.reserved
            ]
            unplaceable_steps.add(task.key.step_key)
            continue
        is_same = last is not None and is_still_best_host(task, *last)
        if last is not None and is_same and _may_start(pool, last[1], now_s):
            host: Host | None = last[1]
        else:
            host = choose_host(pool, task, hosts, now_s)
        if host is None:
            if not task.runs:
                unplaceable_steps.add(task.key.step_key)
                reserver.reserve_for(task, hosts)
            continue
        pool.place(task, host, now_s=now_s)
        placed += 1
        last = task, host
        if not _can_take(pool, host, smallest, now_s):
            hosts.remove(host)
    return placed


def _iter_in_order(
    pool: PoolJobs, reserver: CapacityReserver, usable: list[Host], hosts: list[Host], now_ms: int
) -> Iterator[Task]:
    """Iterate over the overdue tasks, then over all waiting tasks in order if hosts are left.

    Sorting is the largest cost of a pass, so it is skipped if all hosts with capacity are
    reserved.
    """
    yield from reserver.iter_overdue(usable)
    if hosts:
        yield from sort_waiting(pool, now_ms)


def _is_paused(pool: PoolJobs, task: Task, now_s: float) -> bool:
    """Return whether a task, or its gang, gets no start for now as hosts rejected the last ones."""
    return pool.jobs[task.key.job_id].get_crash_task(task).is_paused(now_s)


def _can_take(pool: PoolJobs, host: Host, smallest: Resources, now_s: float) -> bool:
    """Return whether a host may start a run now and has capacity for the smallest task."""
    return smallest.fits_in(host.free) and _may_start(pool, host, now_s)


def _may_start(pool: PoolJobs, host: Host, now_s: float) -> bool:
    """Return whether a start may be sent to a host now, and would be soon."""
    return may_start(pool, host, now_s) and can_send_soon(pool, host, now_s)


def _get_smallest_request(tasks: Collection[Task]) -> Resources:
    """Return the smallest amount of each resource that any of the tasks requests."""
    requests = [task.resources for task in tasks]
    return Resources(
        min(request.cpu_millicores for request in requests),
        min(request.memory_mb for request in requests),
        min(request.gpu_count for request in requests),
    )
