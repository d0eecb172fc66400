"""Checks of a start that was placed, made again before it is sent."""

from typing import Any, Final

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.placement import has_ticket
from robinthread._internal.jobs.run import Run
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.start_ages import make_age_fields

# A host whose start was withheld gets no work for this long, so that an owner that does not know
# of the evacuation does not place the same task there in each pass.
WITHHELD_PAUSE_S: Final = 1.0
# Starts end this much before the bound on evacuations: a start takes up to 0.4 s to arrive, and the
# operator's request is answered some time after it has taken effect.
EVACUATIONS_MARGIN_S: Final = 1.0
# Starts end this much before the bound on draining hosts: one takes up to 0.4 s to arrive.
DRAIN_MARGIN_S: Final = 0.5
# The list of hosts is read each 0.3 s, so starts do not end before three reads have failed.
HOSTS_AGE_MIN_S: Final = 0.9


def are_hosts_known(runtime: PoolRuntime) -> bool:
    """Return whether the list of hosts is recent enough for a start to be sent.

    A host may have begun to drain since it was read.  A node that does not reach the store at all
    goes on serving, as long as its leases allow.
    """
    bound_s = runtime.context.settings.bounds.drain_ms / 1000
    age_max_s = max(HOSTS_AGE_MIN_S, bound_s - DRAIN_MARGIN_S)
    is_recent = runtime.context.get_hosts_unconfirmed_s() <= age_max_s
    return is_recent or runtime.context.is_store_silent()


def are_evacuations_known(runtime: PoolRuntime) -> bool:
    """Return whether the operators' records are recent enough for a start to be sent.

    A node may reach the store and yet fail to read these records.  Without this check its
    starts would go on for as long after a request.  A node that does not reach the store at all
    goes on serving, as long as its leases allow.
    """
    bound_s = runtime.context.settings.bounds.evacuation_ms / 1000
    if not bound_s:
        return True
    age_max_s = bound_s - EVACUATIONS_MARGIN_S
    is_store_reached = runtime.get_unconfirmed_s() <= age_max_s
    return not is_store_reached or runtime.context.get_operators_unconfirmed_s() <= age_max_s


def find_leaving_reason(runtime: PoolRuntime, host: Host, now_s: float) -> str:
    """Return why a host that had been chosen takes no more work; empty if it still does."""
    if is_draining(runtime, host):
        return "the host drains"
    if not host.is_listed:
        return "the host is not listed"
    if host.is_vacating(now_s):
        return "the host is being vacated"
    return ""


def is_draining(runtime: PoolRuntime, host: Host) -> bool:
    """Return whether a host drains, by the owner's record or by the entry as the node read it."""
    if host.record.is_draining:
        return True
    entry = runtime.context.host_directory.hosts.get(host.record.id)
    if entry is None or not entry.is_draining:
        return False
    return entry.host_started_at_ms in (None, host.record.host_started_at_ms)


def may_send(runtime: PoolRuntime, run: Run, host: Host, job: Job) -> bool:
    """Return whether a placed start may be sent; log the reason if not.

    The host must still take work, be in no evacuated hall and have the capacity, as far as records
    that are recent enough tell, and a ticket that the job needs must still be valid.  A run that
    may have begun is sent again to a host that is unlisted or being vacated, unless it drains:
    the host confirms the run if it has it, and what is at work need not be stopped.
    """
    leaving = find_leaving_reason(runtime, host, get_loop_s())
    if leaving and (run.is_unsent or is_draining(runtime, host)):
        log_dropped(runtime, run, host, leaving)
        return False
    if runtime.jobs.evacuated.covers(host):
        log_dropped(runtime, run, host, "the hall is evacuated")
        return False
    if run.is_unsent and not has_ticket(runtime.jobs, job, run.task.step_key, host, get_loop_s()):
        log_dropped(runtime, run, host, "its ticket has expired")
        return False
    if not are_hosts_known(runtime):
        log_dropped(runtime, run, host, "the list of hosts is too old")
        return False
    if not are_evacuations_known(runtime):
        log_dropped(runtime, run, host, "the operators' records are not known")
        return False
    is_over = host.is_overcommitted(job.spec.steps[run.task.step].resources)
    if not is_over and runtime.are_capacities_known():
        return True
    reason = "the host has shrunk" if is_over else "its room is not known"
    log_dropped(runtime, run, host, reason)
    return False


def withhold_if_evacuated(runtime: PoolRuntime, run: Run, host: Host) -> bool:
    """Return whether a start about to be sent must be withheld, as the host's hall is evacuated.

    If so, the start is logged and the host paused.  This compares with what the node has read, not
    with what the pool's owner knows, and so guards against faults of the owner.  The metrics count
    each ``start_withheld``; there should be none.
    """
    if host.record.hall not in runtime.context.evacuations.halls:
        return False
    host.health.pause(WITHHELD_PAUSE_S, get_loop_s())
    runtime.events.write(
        "start_withheld",
        **make_start_fields(run, host),
        hall=host.record.hall,
        pool=runtime.pool,
    )
    return True


def make_start_fields(run: Run, host: Host) -> dict[str, Any]:
    """Return the log fields that identify a start."""
    return {
        "job": run.task.job_id,
        "task": run.task.position,
        "run": run.number,
        "host": host.id,
    }


def log_dropped(runtime: PoolRuntime, run: Run, host: Host, reason: str) -> None:
    """Log that a start is not sent, or not sent again."""
    runtime.events.write(
        "start_dropped",
        **make_start_fields(run, host),
        reason=reason,
        **make_age_fields(runtime, run),
        room_cpu_millicores=host.record.capacity.cpu_millicores,
        free_cpu_millicores=host.free.cpu_millicores,
        free_memory_mb=host.free.memory_mb,
    )
