"""Status reports and log lines of a pool's owner."""

import heapq
from collections import Counter
from collections.abc import Iterable
from typing import Final

import msgspec

from robinthread._internal.fleet.pool_report import (
    HostStatus,
    PoolReport,
    ReportTime,
    ShortageReport,
)
from robinthread._internal.jobs.crash_tracker import CrashEvent
from robinthread._internal.jobs.demand import Demand
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_release import get_empty_in_s, make_slack_reader
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run
from robinthread._internal.jobs.unresponsive_hosts import list_unresponsive
from robinthread._internal.jobs.work_summary import summarize_work
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.open_work import ExpectedWork
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.models.workspace_shares import ShareState
from robinthread._internal.telemetry.event_log import EventLog

# Maximum number of lost runs that the log line of an ended host names.
NEWEST_RUNS_MAX: Final = 12
# Longest time that is reported until a host is empty.
EMPTY_IN_MAX_S: Final = 3600.0


def make_pool_report(
    pool: PoolJobs,
    demand: Demand,
    now_s: float,
    share_state: ShareState | None = None,
    made_at: ReportTime | None = None,
) -> PoolReport:
    """Return a pool's status report for the steward, with the status of each listed host."""
    unresponsive = list_unresponsive(pool, now_s)
    needed = demand.host_requirements.host_ids
    return PoolReport(
        is_owner=True,
        fetch_resources=demand.fetch.astuple(),
        keep_resources=demand.keep.astuple(),
        hosts=tuple(
            _make_host_status(host, host.id not in unresponsive, host.id in needed, now_s)
            for host in pool.hosts.values()
            if host.is_listed
        ),
        hosts_min=demand.hosts_min,
        lasting_resources=demand.lasting.astuple(),
        separate_host_count=demand.host_requirements.separate_host_count,
        shortages=tuple(
            ShortageReport(
                missing.count, missing.resources.astuple(), missing.label, missing.is_lasting
            )
            for missing in demand.host_requirements.missing
        ),
        urgent_resources=demand.urgent.astuple(),
        share_state=share_state,
        workspaces=pool.workspaces.list_usage(_sum_waiting(pool)),
        made_at=made_at,
    )


def add_work(
    report: PoolReport, pool: PoolJobs, expected: ExpectedWork | None, now_s: float, now_ms: int
) -> PoolReport:
    """Return a status report with the pool's work, and when each host could be empty."""
    get_slack = make_slack_reader(pool, now_s, now_ms)
    empty_in_ms = {
        host.record.id: _to_ms(get_empty_in_s(pool, host, now_s, get_slack))
        for host in pool.hosts.values()
        if host.is_listed
    }
    hosts = tuple(
        msgspec.structs.replace(status, empty_in_ms=empty_in_ms[status.host_id])
        for status in report.hosts
    )
    work = summarize_work(pool, expected, now_s, now_ms)
    return msgspec.structs.replace(report, hosts=hosts, work=work)


def count_pending(pool: PoolJobs) -> dict[str, int]:
    """Return the number of jobs of which no task has started, by queue."""
    return Counter(
        job.spec.queue
        for job in pool.jobs.values()
        if job.shown_status is JobStatus.QUEUED and not job.spec.is_timed
    )


def log_host_ended(
    events: EventLog,
    pool: str,
    host: Host,
    reason: str,
    now_s: float,
    successor: str = "",
    unsettled_count: int = 0,
) -> None:
    """Log that a host has ended, with the runs that were last sent to it.

    ``unsettled_count`` is the number of its runs that have not certainly ended with it.  Hosts
    without runs are gathered into one line.
    """
    if host.runs:
        broke_at_s = now_s if host.connection_broken_at_s is None else host.connection_broken_at_s
        newest = heapq.nlargest(
            NEWEST_RUNS_MAX,
            (run for run in host.runs.values() if run.sent_at_s is not None),
            key=lambda run: run.sent_at_s or 0.0,
        )
        events.write(
            "host_ended",
            host=host.id,
            machine=host.record.machine,
            pool=pool,
            reason=reason,
            successor=successor,
            run_count=len(host.runs),
            unsettled_count=unsettled_count,
            broke_ago_s=None
            if host.connection_broken_at_s is None
            else round(now_s - broke_at_s, 3),
            lease_over_in_s=round(host.lease.over_at_s - now_s, 3),
            lease_source=host.lease.source.value,
            newest=[_format_run(run, broke_at_s) for run in newest],
        )
    else:
        events.gather("host_ended", {"pool": pool, "reason": reason}, listed={"hosts": host.id})


def log_crash_events(events: EventLog, pool: str, crash_events: Iterable[CrashEvent]) -> None:
    """Log events about tasks that are suspected of crashing hosts, with the crashes."""
    for crash_event in crash_events:
        events.write(
            crash_event.kind.value,
            job=crash_event.task.job_id,
            task=crash_event.task.position,
            pool=pool,
            run=crash_event.run,
            hosts=crash_event.host_ids,
            crashes=[
                f"{crash.host_id}/{crash.machine}/{crash.run} {crash.age_ms} ms"
                f"{' close' * crash.is_near_start}{' sure' * crash.is_confirmed}"
                f"{' explained' * crash.has_other_cause}"
                for crash in crash_event.crashes
            ],
        )


def _format_run(run: Run, broke_at_s: float) -> str:
    """Format a run with the time from its start order to the break of its host's connection."""
    ago_ms = (broke_at_s - (run.sent_at_s or 0.0)) * 1000
    return f"{run.task.job_id}/{run.task.position}/{run.number} {ago_ms:.1f} ms"


def _sum_waiting(pool: PoolJobs) -> dict[str, Resources]:
    """Return the resources that waiting tasks need, for each workspace to be reported."""
    reported = pool.workspaces.list_reported()
    sums = dict.fromkeys(reported, NO_RESOURCES)
    if sums:
        for task in pool.waiting.values():
            workspace = pool.jobs[task.key.job_id].spec.workspace
            if workspace in sums:
                sums[workspace] += task.step.charged_resources
    return sums


def _make_host_status(host: Host, is_trusted: bool, is_needed: bool, now_s: float) -> HostStatus:
    return HostStatus(
        machine=host.record.machine,
        host_id=host.record.id,
        is_usable=is_trusted
        and host.contact is HostContact.ANSWERING
        and not host.record.is_draining,
        is_vacating=host.is_vacating(now_s),
        run_count=len(host.runs),
        lasting_count=host.lasting_count,
        is_needed=is_needed,
        is_awaited=is_trusted and host.is_awaited(now_s),
        host_started_at_ms=host.record.host_started_at_ms,
    )


def _to_ms(seconds: float) -> int:
    return round(1000 * min(seconds, EMPTY_IN_MAX_S))
