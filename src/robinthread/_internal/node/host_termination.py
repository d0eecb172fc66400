"""The end of a host's life, and what it tells of its machine's next one."""

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_loss import record_host_crash
from robinthread._internal.node.pool_reporting import log_host_ended
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s


def end_host(
    runtime: PoolRuntime, host: Host, reason: str, has_crashed: bool, successor: str = ""
) -> None:
    """End a life of a host with all that ran there; one that was to end has not crashed."""
    log_host_ended(runtime.events, runtime.pool, host, reason, get_loop_s(), successor)
    now_ms = runtime.context.get_wall_ms()
    if has_crashed and not host.was_expected_to_end():
        record_host_crash(runtime.jobs, host, get_loop_s(), now_ms)
    else:
        runtime.jobs.remove_host(host.id, now_ms)
    # Whoever still sends orders there gives up.
    host.contact = HostContact.SILENT
    runtime.wake()


def pause_after_crashes(runtime: PoolRuntime, host: Host) -> None:
    """Keep work for a while from a host whose machine's hosts crash."""
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
