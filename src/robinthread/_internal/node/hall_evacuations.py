"""Evacuation of data halls by a pool's owner: keeps starts away, and reports what is left."""

from typing import Final

from robinthread._internal.jobs.evacuated_halls import PoolRemainder
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run
from robinthread._internal.node.pool_runtime import PoolRuntime
from robinthread._internal.node.unsent_starts import give_back

# Minimum interval between two log lines on one hall.  Tasks that end change it several times a
# second.
REPORT_PERIOD_S: Final = 1.0
NOTHING: Final = PoolRemainder()


class HallEvacuations:
    """Applies the evacuations that this node has read to one pool, and logs their progress."""

    def __init__(self, runtime: PoolRuntime) -> None:
        self._runtime = runtime
        self._holder = runtime.context.evacuations
        self._jobs = runtime.jobs
        self._logged: dict[str, PoolRemainder] = {}
        self._logged_at_s: dict[str, float] = {}

    def start(self) -> None:
        """Apply the evacuations in force, and each change from now on."""
        self._holder.subscribe(self._apply)
        self._apply()

    def stop(self) -> None:
        """Ignore further changes."""
        self._holder.unsubscribe(self._apply)

    def count_remaining(self) -> dict[str, PoolRemainder]:
        """Return what the pool still has in each evacuated hall."""
        return {hall: count_remaining(self._jobs, hall) for hall in self._jobs.evacuated.halls}

    def get_last_starts_s(self) -> dict[str, float]:
        """Return by hall how long after the request was read a run last began; 0 if none did."""
        evacuated, read_at_s = self._jobs.evacuated, self._holder.read_at_s
        return {
            hall: max(0.0, evacuated.last_start_at_s.get(hall, 0.0) - read_at_s.get(hall, 0.0))
            for hall in evacuated.halls
        }

    def report(self, now_s: float) -> None:
        """Log what is left in each evacuated hall if that differs from its last line.

        A hall without a line is taken to have nothing left.
        """
        remaining = self.count_remaining()
        self._logged = {hall: left for hall, left in self._logged.items() if hall in remaining}
        for hall, left in remaining.items():
            is_due = now_s - self._logged_at_s.get(hall, -REPORT_PERIOD_S) >= REPORT_PERIOD_S
            if is_due and left != self._logged.get(hall, NOTHING):
                self._logged[hall], self._logged_at_s[hall] = left, now_s
                self._log(hall, left, now_s)

    def _log(self, hall: str, left: PoolRemainder, now_s: float) -> None:
        self._runtime.events.write(
            "pool_evacuating",
            hall=hall,
            pool=self._runtime.pool,
            host_count=left.host_count,
            run_count=left.run_count,
            lasting_count=left.lasting_count,
            since_read_s=round(now_s - self._holder.read_at_s.get(hall, now_s), 3),
            last_start_s=round(self.get_last_starts_s()[hall], 3),
        )

    def _apply(self) -> None:
        self._jobs.evacuated.replace(self._holder.halls)
        give_back(self._runtime, list_unsent(self._jobs), "the hall is evacuated")
        self._runtime.wake()


def count_remaining(pool: PoolJobs, hall: str) -> PoolRemainder:
    """Return what a pool still has in a hall."""
    hosts = [host for host in pool.hosts.values() if host.record.hall == hall]
    return PoolRemainder(
        host_count=sum(host.is_listed for host in hosts),
        run_count=sum(len(host.runs) for host in hosts),
        lasting_count=sum(host.lasting_count for host in hosts),
    )


def list_unsent(pool: PoolJobs) -> list[Run]:
    """Return the runs in evacuated halls for which this owner has sent no start.

    A run whose start had no response is stopped by the sender.  Runs of an earlier owner are
    settled by their hosts' reports: a host that has reported to this owner rejects that owner's
    starts.
    """
    return [
        run
        for host in pool.hosts.values()
        if pool.evacuated.covers(host)
        for run in host.runs.values()
        if run.is_unsent
    ]
