"""Periodic log lines that show why accepted jobs wait."""

from collections.abc import Iterable
from itertools import groupby
from typing import Any, Final

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.job_timing import get_slack_s
from robinthread._internal.jobs.placement import get_usable_hosts, iter_fitting
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.task import Task
from robinthread._internal.node.pool_runtime import PoolRuntime

# Interval between two log lines for one waiting job.
REPORT_PERIOD_S: Final = 1.0
# Maximum number of jobs logged at once.  The other jobs wait for the same hosts.
JOBS_MAX: Final = 20


class WaitReporter:
    """Logs jobs whose tasks wait for a host, with the state of the pool's hosts."""

    def __init__(self, runtime: PoolRuntime) -> None:
        self._runtime = runtime
        self._logged_at_s: dict[str, float] = {}

    def report(self, now_s: float) -> None:
        """Log each job that has waited for ``REPORT_PERIOD_S`` since its last line."""
        pool = self._runtime.jobs
        waiting = sorted(pool.waiting.values(), key=lambda task: task.key.job_id)
        by_job = {
            job_id: list(tasks) for job_id, tasks in groupby(waiting, lambda task: task.key.job_id)
        }
        self._logged_at_s = {job_id: self._logged_at_s.get(job_id, now_s) for job_id in by_job}
        due = [
            job_id
            for job_id, logged_at_s in self._logged_at_s.items()
            if now_s - logged_at_s >= REPORT_PERIOD_S
        ]
        for job_id in due[:JOBS_MAX]:
            self._logged_at_s[job_id] = now_s
            self._log_wait(pool.jobs[job_id], by_job[job_id], now_s)

    def _log_wait(self, job: Job, tasks: list[Task], now_s: float) -> None:
        pool = self._runtime.jobs
        now_ms = self._runtime.context.get_wall_ms()
        first = tasks[0]
        usable = get_usable_hosts(pool, now_s)
        slack_s = get_slack_s(job, first.key.occurrence, pool.run_times, now_ms)
        self._runtime.events.write(
            "job_waits",
            job=job.id,
            pool=self._runtime.pool,
            waiting_count=len(tasks),
            since_accepted_ms=now_ms - job.spec.accepted_at_ms,
            slack_s=round(slack_s, 3),
            priority=job.policy.priority,
            task_cpu_millicores=first.resources.cpu_millicores,
            fitting_hosts=sum(1 for _ in iter_fitting(pool, first, usable, now_s)),
            usable_hosts=len(usable),
            free_cpu_max_millicores=max((host.free.cpu_millicores for host in usable), default=0),
            are_rooms_known=pool.are_capacities_known,
            **_make_workspace_fields(pool, job.spec.workspace),
            silent_hosts=_count_contacts(pool.hosts.values(), HostContact.SILENT),
            unheard_hosts=_count_contacts(pool.hosts.values(), HostContact.NOT_CONTACTED),
            suspect_count=sum(pool.crash_tracker.is_suspect(task) for task in tasks),
            is_held=bool(job.confirmed_crash_tasks),
            reserved_hosts=len(pool.crash_tracker.trials.reserved),
            paused_hosts=sum(host.is_paused(now_s) for host in pool.hosts.values()),
            store_unconfirmed_for_s=round(self._runtime.context.get_owners_unconfirmed_s(), 3),
        )


def _make_workspace_fields(pool: PoolJobs, workspace: str) -> dict[str, Any]:
    """Return log fields with a workspace's usage, limit and share; empty if it has no limit."""
    limit = pool.workspaces.get_limit(workspace)
    if limit is None:
        return {}
    return {
        "workspace": workspace,
        "workspace_used": pool.workspaces.get_used(workspace).astuple(),
        "workspace_limit": limit.astuple(),
        "workspace_share": round(pool.workspaces.get_share(workspace), 3),
        "waits_for_workspace": workspace in pool.workspaces.held_back,
    }


def _count_contacts(hosts: Iterable[Host], contact: HostContact) -> int:
    return sum(host.contact is contact for host in hosts)
