"""Keeping a host's room for a lasting task that fits nowhere yet.

A full pool frees room in small pieces, which small tasks take at once: without this, a
task that needs several of them would wait for as long as the pool is full.
"""

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.placement import may_carry_another, may_run
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.resources import Resources


class RoomKeeper:
    """The hosts that are kept for lasting tasks, in one look at all waiting tasks.

    A task keeps the one that lacks least, of equal ones the one that it kept before.
    """

    def __init__(self, pool: PoolJobs, now_s: float) -> None:
        self._pool = pool
        self._now_s = now_s
        self._rooms: dict[str, Resources] = {}
        self._last_kept, pool.kept_hosts = pool.kept_hosts, {}
        self.kept: set[str] = set()

    def keep_for(self, task: Task, hosts: list[Host]) -> None:
        """Take the host off ``hosts`` to which nothing is to go until the task fits there.

        A task that ends is not kept room for: others like it will end.
        """
        if not task.step.is_lasting or task.step.is_gang:
            return
        if not self._pool.policy.keeps_room_for_lasting:
            return
        job = self._pool.jobs[task.key.job_id]
        fitting = (
            host
            for host in hosts
            if task.room.fits_in(self._get_room_to_come(host))
            and may_run(self._pool, job, task, host, self._now_s)
            and may_carry_another(task, host)
        )
        last_id = self._last_kept.get(task.key)
        host = min(
            fitting, key=lambda host: (_get_lack(task, host), host.id != last_id), default=None
        )
        if host is not None:
            self._pool.kept_hosts[task.key] = host.id
            self.kept.add(host.id)
            hosts.remove(host)

    def _get_room_to_come(self, host: Host) -> Resources:
        """Return the room that a host has once all that ends by itself has ended."""
        room = self._rooms.get(host.id)
        if room is None:
            ending = (run for run in host.runs.values() if not run.is_lasting)
            rooms = (self._pool.jobs[run.task.job_id].get_task(run.task).room for run in ending)
            room = self._rooms[host.id] = sum(rooms, start=host.free)
        return room


def _get_lack(task: Task, host: Host) -> float:
    """Return how much room a host lacks for a task, as the largest share of its own room."""
    lacks, room = task.room - host.free, host.record.room
    return max(
        lacks.cpu_millicores / max(1, room.cpu_millicores),
        lacks.memory_mb / max(1, room.memory_mb),
        lacks.gpu_count / max(1, room.gpu_count),
    )
