"""Applies cold times and the limit of starts to a pool's cold hosts."""

from robinthread._internal.jobs.cold_hosts import make_start_limit, set_start_limit
from robinthread._internal.jobs.cold_state import UNKNOWN_LIMIT
from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.run import Run
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.start_checks import make_start_fields


def apply_cold_time(runtime: PoolRuntime, host: Host) -> None:
    """Apply until when a host is cold, as its newest entry states."""
    now_s = get_loop_s()
    was_cold = host.cold.is_cold(now_s)
    until_s = runtime.context.host_directory.cold_until_s.get(host.record.id)
    if until_s is None:
        return
    host.cold.until_s = until_s
    if host.cold.is_cold(now_s) != was_cold:
        runtime.events.gather(
            "host_warm" if was_cold else "host_cold",
            {"pool": runtime.pool},
            listed={"hosts": host.id},
            cold_for_s=round(max(0.0, until_s - now_s), 3),
        )


def apply_start_limit(runtime: PoolRuntime, now_s: float) -> None:
    """Apply the pool's limit of starts on cold hosts, as the configuration states it now."""
    config = runtime.context.config_holder.config
    if config is None:
        runtime.jobs.cold_start_limit = UNKNOWN_LIMIT
        return
    policy = config.pools.get(runtime.pool)
    slack = runtime.context.settings.bounds.cold_slack
    set_start_limit(runtime.jobs, make_start_limit(policy, slack), now_s)


def take_start(runtime: PoolRuntime, run: Run, host: Host) -> bool:
    """Count a start that is about to be sent; log it and return False if the limit forbids it.

    Placement already respects the limit, but starts placed over some time may be sent together, for
    example after a delay of the store.
    """
    if host.cold.take_start(runtime.jobs.cold_start_limit, get_loop_s()):
        return True
    runtime.events.write("start_dropped", **make_start_fields(run, host), reason="the host is cold")
    return False
