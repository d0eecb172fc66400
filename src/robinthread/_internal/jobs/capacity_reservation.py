"""Reservation of hosts for lasting tasks that do not fit on any host yet.

A full pool frees capacity in small amounts, which small tasks use at once.  Without
reservations, a task that needs several of these amounts would wait as long as the pool is full.
A lasting task that has not run for long takes precedence over more urgent tasks, which in a full
pool would use all capacity before its turn.
"""

from collections.abc import Collection, Iterator
from itertools import takewhile
from typing import Final

from robinthread._internal.jobs.gangs import choose_gang_hosts, get_waiting_gang
from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.placement import (
    allows_another_run,
    get_future_capacity,
    get_usable_hosts,
    may_run,
)
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.step_key import StepKey

# A lasting task is overdue this long after its last run ended.  It should run again within 9 s:
# the platform's rules require it from 6 s on, with a tolerance of 3 s.  The remaining 5 s are
# 2 s until a host is free, since its usual tasks take 1 to 2 s, 2 s more for a task that waits
# behind another overdue one, and 1 s to write the record and send the order.
OVERDUE_S: Final = 4.0
# Share of the usable hosts that may be reserved ahead of more urgent tasks at a time, at least
# one host.  Measured on the stand-in: a pool of eight hosts was full of tasks of 1.6 to 2.25 s,
# and four hosts were lost with eight lasting tasks of half a host each.  All of these ran again
# after 8.9 s; with a share of a quarter, after 12.5 s.
RESERVED_AHEAD_SHARE: Final = 0.5


class CapacityReserver:
    """Reserves hosts for lasting tasks during one pass over all waiting tasks.

    A task reserves the host with the smallest shortage, of equal ones the host that it reserved
    in the previous pass.  An overdue gang reserves hosts for all its members.  ``reserved`` are
    the ids of the hosts that are reserved in this pass.
    """

    def __init__(self, pool: PoolJobs, now_s: float) -> None:
        self._pool = pool
        self._now_s = now_s
        self._ran_until_max_s = now_s - OVERDUE_S
        self._future_capacities: dict[str, Resources] = {}
        self._previous_host_ids, pool.reserved_host_ids = pool.reserved_host_ids, {}
        self._unplaceable_steps: set[StepKey] = set()
        self.reserved: set[str] = set()

    def iter_overdue(self, usable: Collection[Host]) -> Iterator[Task]:
        """Iterate over the overdue lasting tasks, the one that ran least recently first.

        The iteration ends once ``RESERVED_AHEAD_SHARE`` of the ``usable`` hosts are reserved; the
        remaining tasks are placed in the usual order.  Only tasks that ran before are overdue, so
        urgent queues lose no more than the capacity that these tasks had used.
        """
        if not self._pool.policy.keeps_room_for_lasting:
            return iter(())
        overdue = sorted(
            (
                task
                for task in self._pool.waiting.values()
                if task.ran_until_s <= self._ran_until_max_s and task.step.is_lasting
            ),
            key=lambda task: (task.ran_until_s, task.key),
        )
        reserved_max = max(1, int(RESERVED_AHEAD_SHARE * len(usable)))
        return takewhile(lambda _task: len(self.reserved) < reserved_max, overdue)

    def reserve_for(self, task: Task, hosts: list[Host]) -> None:
        """Reserve a host for a lasting task until it fits there, and remove it from ``hosts``.

        Nothing is reserved for tasks that end, since other such tasks free the capacity, nor for
        gangs, see ``reserve_for_gang``.
        """
        if (
            task.step.is_gang
            or task.key.step_key in self._unplaceable_steps
            or not self._may_reserve(task)
        ):
            return
        job = self._pool.jobs[task.key.job_id]
        fitting = (
            host
            for host in hosts
            if task.resources.fits_in(self._get_future_capacity(host))
            and may_run(self._pool, job, task, host, self._now_s)
            and allows_another_run(task, host)
        )
        previous_id = self._previous_host_ids.get(task.key)
        host = min(
            fitting,
            key=lambda host: (
                _get_shortage(task, host),
                host.id != previous_id,
                host.cold.is_cold(self._now_s),
            ),
            default=None,
        )
        if host is None:
            # The tasks of a step are alike, and the hosts only become fewer during a pass.
            self._unplaceable_steps.add(task.key.step_key)
            return
        self._reserve(task, host)
        hosts.remove(host)

    def reserve_for_gang(self, task: Task) -> None:
        """Reserve hosts for all members of a task's overdue gang until the gang fits there.

        A gang starts as a whole, so its hosts may exceed ``RESERVED_AHEAD_SHARE``.
        """
        if not self._may_reserve(task) or task.ran_until_s > self._ran_until_max_s:
            return
        members = get_waiting_gang(self._pool, task)
        if not members:
            return
        job = self._pool.jobs[task.key.job_id]
        usable = get_usable_hosts(self._pool, self._now_s)
        available = [host for host in usable if host.id not in self.reserved]
        hosts = choose_gang_hosts(
            self._pool, job, members, available, self._now_s, self._get_future_capacity
        )
        for member, host in zip(members, hosts or (), strict=False):
            self._reserve(member, host)

    def _may_reserve(self, task: Task) -> bool:
        return task.step.is_lasting and self._pool.policy.keeps_room_for_lasting

    def _reserve(self, task: Task, host: Host) -> None:
        self._pool.reserved_host_ids[task.key] = host.id
        self.reserved.add(host.id)

    def _get_future_capacity(self, host: Host) -> Resources:
        """Return a host's free capacity once its runs of tasks that end have ended, cached."""
        capacity = self._future_capacities.get(host.id)
        if capacity is None:
            capacity = self._future_capacities[host.id] = get_future_capacity(self._pool, host)
        return capacity


def _get_shortage(task: Task, host: Host) -> float:
    """Return the largest share of a host's capacity that it lacks for a task, over resources."""
    missing, capacity = task.resources - host.free, host.record.capacity
    return max(
        missing.cpu_millicores / max(1, capacity.cpu_millicores),
        missing.memory_mb / max(1, capacity.memory_mb),
        missing.gpu_count / max(1, capacity.gpu_count),
    )
