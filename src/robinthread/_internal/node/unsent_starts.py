"""Gives back the starts that wait in front of a host that takes no more work."""

from collections.abc import Iterable

from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.start_checks import find_leaving_reason, log_dropped


def give_back_leaving(runtime: PoolRuntime) -> None:
    """Queue the tasks again whose starts wait for a host that drains or leaves otherwise."""
    now_s = get_loop_s()
    for host in list(runtime.jobs.hosts.values()):
        if reason := find_leaving_reason(runtime, host, now_s):
            give_back(runtime, [run for run in host.runs.values() if run.is_unsent], reason)


def give_back(runtime: PoolRuntime, unsent: Iterable[Run], reason: str) -> None:
    """Queue the tasks of unsent runs again; log the reason for each."""
    for run in unsent:
        # A run of a gang is over once another member of it has been given back.
        if run.phase is not RunPhase.OVER:
            log_dropped(runtime, run, runtime.jobs.hosts[run.host_id], reason)
            runtime.jobs.forget_run(run)
