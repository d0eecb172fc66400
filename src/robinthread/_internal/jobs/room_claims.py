"""Capacity that tasks which must move to other hosts will take there."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence

from robinthread._internal.jobs.gangs import choose_gang_hosts
from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.placement import choose_host, count_step_runs
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import RunPhase
from robinthread._internal.jobs.task import Task
from robinthread._internal.jobs.workspace_capacity import has_workspace_capacity
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.models.step_key import StepKey


class RoomClaims:
    """Capacity of the ``usable`` hosts that is claimed for lasting tasks without a run.

    Tasks that wait or are being stopped claim capacity first.  Without claims, all tasks of an
    evacuated hall would be stopped for the same free capacity, and most would then not run.  Tasks
    that wait because their workspace is at its limit claim none, since no host is used for them.

    Each claim visits all hosts.  So nothing is claimed before the first task of a hall may leave,
    and a step that has found no room is not tried again.
    """

    def __init__(self, pool: PoolJobs, usable: Sequence[Host], now_s: float) -> None:
        self._pool = pool
        self._usable = usable
        self._now_s = now_s
        self._claimed: dict[str, Resources] = defaultdict(lambda: NO_RESOURCES)
        self._step_counts: Counter[tuple[str, StepKey]] = Counter()
        self._full_steps: set[StepKey] = set()
        self._are_moving_claimed = False

    def claim(self, task: Task) -> bool:
        """Claim capacity for a task on the best host that has it; return whether one has."""
        self._claim_for_moving()
        return self._claim_for_task(task)

    def claim_for_gang(self, members: list[Task]) -> bool:
        """Claim capacity for all members of a gang, or none; return whether all have a host."""
        self._claim_for_moving()
        step_key = members[0].key.step_key
        if step_key in self._full_steps:
            return False
        job = self._pool.jobs[step_key.job_id]
        hosts = choose_gang_hosts(
            self._pool, job, members, self._usable, self._now_s, self._get_unclaimed
        )
        if hosts is None:
            self._full_steps.add(step_key)
            return False
        for member, host in zip(members, hosts, strict=True):
            self._claim_on(host, member)
        return True

    def _claim_for_moving(self) -> None:
        if self._are_moving_claimed:
            return
        self._are_moving_claimed = True
        for task in _iter_moving(self._pool):
            self._claim_for_task(task)

    def _claim_for_task(self, task: Task) -> bool:
        if task.key.step_key in self._full_steps:
            return False
        hosts = (host for host in self._usable if self._has_room(task, host))
        host = choose_host(self._pool, task, hosts, self._now_s)
        if host is None:
            self._full_steps.add(task.key.step_key)
            return False
        self._claim_on(host, task)
        return True

    def _claim_on(self, host: Host, task: Task) -> None:
        self._claimed[host.id] += task.resources
        self._step_counts[host.id, task.key.step_key] += 1

    def _get_unclaimed(self, host: Host) -> Resources:
        return host.free - self._claimed[host.id]

    def _has_room(self, task: Task, host: Host) -> bool:
        if not task.resources.fits_in(self._get_unclaimed(host)):
            return False
        limit = task.step.per_host_max
        claimed_count = self._step_counts[host.id, task.key.step_key]
        return not limit or count_step_runs(task, host) + claimed_count < limit


def _iter_moving(pool: PoolJobs) -> Iterator[Task]:
    """Iterate over the lasting tasks that need a host: those that wait or are being stopped."""
    yield from (
        task
        for task in pool.waiting.values()
        if task.step.is_lasting and has_workspace_capacity(pool, task)
    )
    for host in pool.hosts.values():
        for run in host.runs.values():
            job = pool.jobs[run.task.job_id]
            if run.is_lasting and run.phase is RunPhase.STOPPING and not job.status.is_final:
                yield job.get_task(run.task)
