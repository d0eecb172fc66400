"""Keeping a host's room for a lasting task that fits nowhere yet.

A full pool frees room in small pieces, which small tasks take at once: without this, a
task that needs several of them would wait for as long as the pool is full.  A lasting task
that has been without a run for long comes before more urgent tasks, which in a full pool would
take all room before its turn.
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

# A lasting task should run again 9 s after its last run at the latest: the platform's rules
# ask for it from 6 s on and allow 3 s.  A host's room is free once its usual tasks of 1 to 2 s
# have ended; as much again is left for a task that waits its turn behind another overdue one,
# and 1 s for the record and the order.
OVERDUE_S: Final = 4.0
# Share of the usable hosts, one at least, that are kept ahead of more urgent tasks at a time.
# Of a pool of eight hosts on the stand-in, full of tasks of 1.6 to 2.25 s, four were lost with
# eight lasting tasks of half a host: all ran again after 8.9 s, with a quarter after 12.5 s.
RESERVED_AHEAD_SHARE: Final = 0.5


class CapacityReserver:
    """The hosts that are kept for lasting tasks, in one look at all waiting tasks.

    A task keeps the one that lacks least, of equal ones the one that it kept before.  A gang
    that is overdue keeps as many as all its members need.
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
        """Iterate over the lasting tasks that go before all others, longest without a run first.

        They end once as many of the ``usable`` hosts are kept as may be ahead of other tasks;
        the rest has its usual turn.  Only tasks that ran before are overdue, so that urgent
        queues give up no more than the room that these had.
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
        """Take the host off ``hosts`` to which nothing is to go until the task fits there.

        A task that ends is not kept room for: others like it will end.
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
            key=lambda host: (_get_shortage(task, host), host.id != previous_id),
            default=None,
        )
        if host is None:
            # Tasks of a step are alike, and hosts only grow fewer in a look.
            self._unplaceable_steps.add(task.key.step_key)
            return
        self._reserve(task, host)
        hosts.remove(host)

    def reserve_for_gang(self, task: Task) -> None:
        """Keep the hosts to which nothing is to go until a task's overdue gang fits there.

        It begins whole or not at all, so it may keep more than the share that is kept ahead.
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
        """Return the room that a host has once all that ends by itself has ended."""
        capacity = self._future_capacities.get(host.id)
        if capacity is None:
            capacity = self._future_capacities[host.id] = get_future_capacity(self._pool, host)
        return capacity


def _get_shortage(task: Task, host: Host) -> float:
    """Return how much room a host lacks for a task, as the largest share of its own room."""
    missing, capacity = task.resources - host.free, host.record.capacity
    return max(
        missing.cpu_millicores / max(1, capacity.cpu_millicores),
        missing.memory_mb / max(1, capacity.memory_mb),
        missing.gpu_count / max(1, capacity.gpu_count),
    )
