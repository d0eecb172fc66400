"""Handling of the runs of a host after another incarnation responds under its id."""

import math
from collections.abc import Collection
from dataclasses import replace

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_loss import record_host_crash
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.unconfirmed_starts import RunKey


def end_previous_incarnation(
    pool: PoolJobs,
    previous: Host,
    host: Host,
    present: Collection[RunKey],
    requested_at_s: float,
    now_s: float,
    now_ms: int,
    is_present_complete: bool = True,
) -> None:
    """End an incarnation of a host after ``host``, another incarnation, has responded.

    Runs that had begun have ended with the incarnation.  The other one may have carried out a
    start meant for it, or may do so later; such a run is moved to ``host``.  If the run is not
    ``present`` in the report that was requested at ``requested_at_s``, it is stopped there, and its
    task waits until no start of that run can be carried out any more.  Unless
    ``is_present_complete``, the report left out ends, and any run may be among them.
    """
    moved_runs = [
        run
        for run in previous.runs.values()
        if _may_be_carried_out(pool, run, present, requested_at_s)
        or (not is_present_complete and run.phase is not RunPhase.RECORDING)
    ]
    was_known = previous.contact is not HostContact.NOT_CONTACTED or bool(previous.runs)
    if was_known and not previous.was_expected_to_end():
        record_host_crash(pool, previous, now_s, now_ms, moved_runs, host)
    else:
        pool.remove_host(previous.id, now_ms, moved_runs, host)
    for run in moved_runs:
        if run.key not in present and run.phase is not RunPhase.OVER:
            _stop_again(pool, run)
    previous.contact = HostContact.SILENT


def list_unsettled_runs(host: Host, ended_by_s: float) -> list[Run]:
    """Return the runs of a host that may be on its next incarnation.

    The host had ended by ``ended_by_s``, so a run that had begun by then has ended as well.
    """
    return [
        run
        for run in host.runs.values()
        if not run.is_unsent and run.phase is not RunPhase.OVER and run.begun_by_s >= ended_by_s
    ]


def make_placeholder(pool: PoolJobs, host: Host) -> Host:
    """Return the host that stands for the next, unknown incarnation of ``host``.

    It takes over the runs that may be there, until that incarnation responds or their leases are
    over.
    """
    placeholder = pool.add_host(replace(host.record, host_started_at_ms=None))
    placeholder.is_placeholder = True
    placeholder.is_listed = False
    placeholder.lease.extend(host.lease.over_at_s)
    return placeholder


def adopt_runs(pool: PoolJobs, unidentified: Host, host: Host) -> None:
    """Move the runs of a record that does not name an incarnation to ``host``."""
    pool.remove_host(unidentified.id, 0, list(unidentified.runs.values()), host)


def settle_placeholder(
    pool: PoolJobs, placeholder: Host, host: Host, present: Collection[RunKey]
) -> None:
    """Move the runs of a placeholder to ``host``, the incarnation that has responded.

    Starts without a response that are not ``present`` there are stopped, so that it rejects them.
    """
    unanswered = [
        run
        for run in placeholder.runs.values()
        if run.key not in present and run.phase is not RunPhase.PRESENT
    ]
    adopt_runs(pool, placeholder, host)
    for run in unanswered:
        _stop_again(pool, run)


def find_incarnations(pool: PoolJobs, host_id: str) -> list[Host]:
    """Return the incarnations of a host that are not known to have ended."""
    return [host for host in pool.hosts.values() if host.record.id == host_id]


def _stop_again(pool: PoolJobs, run: Run) -> None:
    """Stop a run on its new host, whether or not it was being stopped on the previous one."""
    if run.phase is RunPhase.STOPPING:
        run.settled_at_s = math.inf
        pool.to_stop.append(run)
    else:
        pool.stop(run)


def _may_be_carried_out(
    pool: PoolJobs, run: Run, present: Collection[RunKey], requested_at_s: float
) -> bool:
    if run.phase is RunPhase.RECORDING:
        return False
    host_id = pool.hosts[run.host_id].record.id
    is_open = pool.unconfirmed_starts.is_open(host_id, run.key)
    # The incarnation may be stopping it by an order of an earlier owner, and lists it nowhere.
    is_inherited_open = run.is_inherited and requested_at_s < run.lease_over_at_s
    is_open = is_open or is_inherited_open
    return run.key in present or is_open or run.settled_at_s >= requested_at_s
