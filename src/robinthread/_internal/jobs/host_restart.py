"""What becomes of the runs of a host once another life answers under its id."""

import math
from collections.abc import Collection

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_loss import record_host_crash
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.unconfirmed_starts import RunKey


def end_previous_incarnation(
    pool: PoolJobs,
    former: Host,
    host: Host,
    present: Collection[RunKey],
    asked_at_s: float,
    now_s: float,
    now_ms: int,
) -> None:
    """End a life of a host, of which ``host`` is another that answers.

    What ran there has ended with it.  A start that was meant for it may have been carried out by
    the other life, or may be yet: that run is the other's from now on.  Where the other's report,
    asked for at ``asked_at_s``, does not have it among those ``present``, it is stopped there, so
    that its task waits until nothing of it can begin any more.
    """
    carried = [
        run for run in former.runs.values() if _may_be_carried_out(pool, run, present, asked_at_s)
    ]
    was_known = former.contact is not HostContact.NOT_CONTACTED or bool(former.runs)
    if was_known and not former.was_expected_to_end():
        record_host_crash(pool, former, now_s, now_ms, carried, host)
    else:
        pool.remove_host(former.id, now_ms, carried, host)
    for run in carried:
        if run.key not in present and run.phase is not RunPhase.OVER:
            _stop_again(pool, run)
    former.contact = HostContact.SILENT


def adopt_runs(pool: PoolJobs, unnamed: Host, host: Host) -> None:
    """Give a host the runs of a record that did not tell which life of it they were on."""
    pool.remove_host(unnamed.id, 0, list(unnamed.runs.values()), host)


def find_incarnations(pool: PoolJobs, host_id: str) -> list[Host]:
    """Return the lives of a host that are not known to have ended."""
    return [host for host in pool.hosts.values() if host.record.id == host_id]


def _stop_again(pool: PoolJobs, run: Run) -> None:
    """Have a run told to stop at another host than before, whatever it was told there."""
    if run.phase is RunPhase.STOPPING:
        run.settled_at_s = math.inf
        pool.to_stop.append(run)
    else:
        pool.stop(run)


def _may_be_carried_out(
    pool: PoolJobs, run: Run, present: Collection[RunKey], asked_at_s: float
) -> bool:
    if run.phase is RunPhase.RECORDING:
        return False
    host_id = pool.hosts[run.host_id].record.id
    is_open = pool.unconfirmed_starts.is_open(host_id, run.key)
    return run.key in present or is_open or run.settled_at_s >= asked_at_s
