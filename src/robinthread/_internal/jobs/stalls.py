"""Detects and stops runs that make no progress."""

from typing import Final

from robinthread._internal.jobs.evacuation import AT_WORK_PERCENT
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase

# A run whose progress has not changed for this long hangs.  Hosts report at least once a second,
# and the longest tasks observed take about 40 ms per percent.
STALL_S: Final = 1.6
# How long a host on which a run hangs gets no new work.
HANG_PAUSE_S: Final = 3.0


def stop_stalled(pool: PoolJobs, now_s: float) -> list[Run]:
    """Stop the runs that hang and pause their hosts; return these runs."""
    stalled = [
        run
        for host in pool.hosts.values()
        if host.contact is HostContact.ANSWERING
        for run in host.runs.values()
        if _is_stalled(host, run, now_s)
    ]
    for run in stalled:
        pool.hosts[run.host_id].health.pause(HANG_PAUSE_S, now_s)
        pool.stop(run)
    return stalled


def _is_stalled(host: Host, run: Run, now_s: float) -> bool:
    """Return whether a run hangs; time without progress counts only while its host is warm."""
    return (
        run.phase is RunPhase.PRESENT
        and not run.awaits_end
        and run.progress_percent < AT_WORK_PERCENT
        and now_s - max(run.progress_at_s, host.cold.until_s) > STALL_S
    )
