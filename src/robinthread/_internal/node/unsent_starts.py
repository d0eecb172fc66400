"""Gives back the starts that wait in front of a host that takes no more work."""

from collections.abc import Iterable
from typing import Final

from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.start_checks import (
    find_leaving_reason,
    is_draining,
    log_dropped,
)

# Records that are not written after this long wait for a store that is slow, down, or rejects the
# node.  Most are written within 10 ms.
RECORDING_MAX_S: Final = 0.1


def give_back_leaving(runtime: PoolRuntime) -> None:
    """Queue the tasks again whose starts wait for a host that drains or leaves otherwise.

    While the store takes no records, a host that is only being vacated keeps the runs that are
    not recorded yet: it would look empty, and be moved away from tasks that need it.
    """
    now_s = get_loop_s()
    is_stalled = _is_recording_stalled(runtime, now_s)
    for host in list(runtime.jobs.hosts.values()):
        if reason := find_leaving_reason(runtime, host, now_s):
            is_vacated = host.is_listed and not is_draining(runtime, host)
            keeps_unrecorded = is_vacated and is_stalled
            give_back(
                runtime,
                [
                    run
                    for run in host.runs.values()
                    if run.is_unsent and not (keeps_unrecorded and run.phase is RunPhase.RECORDING)
                ],
                reason,
            )


def _is_recording_stalled(runtime: PoolRuntime, now_s: float) -> bool:
    since_s = runtime.recording_since_s
    return since_s is not None and now_s - since_s > RECORDING_MAX_S


def give_back(runtime: PoolRuntime, unsent: Iterable[Run], reason: str) -> None:
    """Queue the tasks of unsent runs again; log the reason for each."""
    for run in unsent:
        # A run of a gang is over once another member of it has been given back.
        if run.phase is not RunPhase.OVER:
            log_dropped(runtime, run, runtime.jobs.hosts[run.host_id], reason)
            runtime.jobs.forget_run(run)
