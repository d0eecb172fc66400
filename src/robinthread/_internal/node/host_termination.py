"""End of a host's incarnation, and back-off for the next host of a machine with crashes."""

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_loss import record_host_crash
from robinthread._internal.node.pool_reporting import log_host_ended
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s


def end_host(
    runtime: PoolRuntime, host: Host, reason: str, has_crashed: bool, successor: str = ""
) -> None:
    """End an incarnation of a host with all its runs; an expected end does not count as a crash."""
    log_host_ended(runtime.events, runtime.pool, host, reason, get_loop_s(), successor)
    now_ms = runtime.context.get_wall_ms()
    if has_crashed and not host.was_expected_to_end():
        record_host_crash(runtime.jobs, host, get_loop_s(), now_ms)
    else:
        runtime.jobs.remove_host(host.id, now_ms)
    # Pending senders of orders to this host stop retrying.
    host.contact = HostContact.SILENT
    runtime.wake()


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
