"""End of a host's incarnation, and back-off for the next host of a machine with crashes."""

import math
from collections.abc import Iterable

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_loss import record_host_crash
from robinthread._internal.jobs.host_restart import list_unsettled_runs, make_placeholder
from robinthread._internal.jobs.run import Run
from robinthread._internal.node.pool_reporting import log_host_ended
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s


def end_host(
    runtime: PoolRuntime,
    host: Host,
    reason: str,
    has_crashed: bool,
    successor: str = "",
    ended_by_s: float | None = None,
) -> bool:
    """End an incarnation of a host with its runs; an expected end does not count as a crash.

    If another incarnation may be up under its id, ``ended_by_s`` is a time by which this one had
    ended.  Runs that may have begun later are left to the next incarnation, or to the end of
    their leases.  While it is still open which these are, nothing is done, and False is returned.
    """
    unsettled = [] if ended_by_s is None else list_unsettled_runs(host, ended_by_s)
    if unsettled and not _may_split(host, unsettled):
        runtime.events.gather(
            "host_end_postponed",
            by={"pool": runtime.pool, "reason": reason},
            listed={"hosts": host.id},
            unsettled_count=len(unsettled),
        )
        return False
    placeholder = make_placeholder(runtime.jobs, host) if unsettled else None
    log_host_ended(
        runtime.events, runtime.pool, host, reason, get_loop_s(), successor, len(unsettled)
    )
    now_ms = runtime.context.get_wall_ms()
    if has_crashed and not host.was_expected_to_end():
        record_host_crash(runtime.jobs, host, get_loop_s(), now_ms, unsettled, placeholder)
    else:
        runtime.jobs.remove_host(host.id, now_ms, unsettled, placeholder)
    # Pending senders of orders to this host stop retrying.
    host.contact = HostContact.SILENT
    runtime.wake()
    return True


def _may_split(host: Host, unsettled: Iterable[Run]) -> bool:
    """Return whether the unsettled runs of a host may be left to its next incarnation now.

    Those whose starts were answered are settled by the next news of its end.  Incarnations that
    have the same name cannot be told apart.
    """
    has_name = host.record.host_started_at_ms is not None
    return has_name and all(math.isinf(run.begun_by_s) for run in unsettled)


def pause_after_crashes(runtime: PoolRuntime, host: Host) -> None:
    """Place no work on a host for a while if earlier hosts of its machine crashed."""
    machine, now_s = host.record.machine, get_loop_s()
    pause_s = runtime.jobs.crash_tracker.get_machine_pause_s(machine, now_s)
    if pause_s:
        host.health.pause(pause_s, now_s)
        runtime.events.write(
            "host_paused",
            host=host.id,
            machine=machine,
            pool=runtime.pool,
            reason="its machine's hosts crash",
            pause_s=pause_s,
        )
