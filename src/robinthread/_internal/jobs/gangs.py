"""Placement of gangs: the tasks of a gang step run only together."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Final

from robinthread._internal.jobs.cold_hosts import count_startable
from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.placement import count_step_runs, may_run
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.start_limits import count_sendable
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.resources import Resources

# Part of a gang's timeout within which its hosts should have answered the starts of all members.
# The rest is for answers that take longer than before.
GANG_BOUND_SHARE: Final = 2 / 3


def place_gang(pool: PoolJobs, task: Task, usable: Iterable[Host], now_s: float) -> int:
    """Place all members of a task's gang on ``usable`` hosts, or none; return how many.

    The members share one run number and one checkpoint, so the gang starts only when no run of
    an earlier attempt is left.
    """
    job = pool.jobs[task.key.job_id]
    members = get_waiting_gang(pool, task)
    if not members:
        return 0
    hosts = choose_gang_hosts(pool, job, members, usable, now_s)
    if not hosts:
        return 0
    number = 1 + max(member.last_run for member in members)
    checkpoint = next((member.checkpoint for member in members if member.checkpoint), "")
    for member, host in zip(members, hosts, strict=True):
        member.checkpoint = checkpoint
        pool.place(member, host, number, now_s)
    return len(members)


def get_waiting_gang(pool: PoolJobs, task: Task) -> list[Task]:
    """Return all members of a task's gang, or an empty list unless all of them wait."""
    members = pool.jobs[task.key.job_id].get_tasks(task.key.occurrence, task.key.step)
    return members if all(member.key in pool.waiting for member in members) else []


def _get_free_capacity(host: Host) -> Resources:
    return host.free


def choose_gang_hosts(
    pool: PoolJobs,
    job: Job,
    members: list[Task],
    usable: Iterable[Host],
    now_s: float,
    get_capacity: Callable[[Host], Resources] = _get_free_capacity,
) -> list[Host] | None:
    """Return a host for each member, or None if the hosts cannot hold all members at once.

    If the step asks for one rack, all hosts are of one rack if any rack has the capacity.
    ``get_capacity`` returns the capacity of a host that may be used: by default what is free.
    """

    def get_startable_count(host: Host) -> float:
        bound_s = GANG_BOUND_SHARE * pool.gang_timeout_s
        sendable_count = count_sendable(host, now_s, bound_s)
        return min(count_startable(pool, host, now_s), sendable_count)

    step = members[0].step
    runnable = (host for host in usable if may_run(pool, job, members[0], host, now_s))
    usable = sorted(runnable, key=lambda host: host.cold.is_cold(now_s))
    if step.wants_one_rack:
        racks = _group_by_rack(usable)
        cold_racks = {host.record.rack for host in usable if host.cold.is_cold(now_s)}
        for rack in sorted(
            racks, key=lambda name: (name != step.near_rack, name in cold_racks, name)
        ):
            if chosen := _assign_hosts(members, racks[rack], get_capacity, get_startable_count):
                return chosen
    near_first = sorted(
        usable,
        key=lambda host: (
            host.record.rack != step.near_rack,
            host.cold.is_cold(now_s),
            host.id,
        ),
    )
    return _assign_hosts(members, near_first, get_capacity, get_startable_count)


def _group_by_rack(hosts: Iterable[Host]) -> dict[str, list[Host]]:
    racks: dict[str, list[Host]] = defaultdict(list)
    for host in hosts:
        racks[host.record.rack].append(host)
    return racks


def _assign_hosts(
    members: list[Task],
    hosts: list[Host],
    get_capacity: Callable[[Host], Resources],
    get_startable_count: Callable[[Host], float],
) -> list[Host] | None:
    """Assign to each member the first host with capacity left; return None if one has no host."""
    free = {host.id: get_capacity(host) for host in hosts}
    startable_counts = {host.id: get_startable_count(host) for host in hosts}
    counts = {host.id: count_step_runs(members[0], host) for host in hosts}
    chosen: list[Host] = []
    for member in members:
        step = member.step
        host = next(
            (
                host
                for host in hosts
                if step.resources.fits_in(free[host.id])
                and startable_counts[host.id] >= 1
                and (not step.per_host_max or counts[host.id] < step.per_host_max)
            ),
            None,
        )
        if host is None:
            return None
        free[host.id] -= step.resources
        counts[host.id] += 1
        startable_counts[host.id] -= 1
        chosen.append(host)
    return chosen
