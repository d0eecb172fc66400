"""Leases of starts that another incarnation of the host may have taken."""

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.lease_times import get_lapse_time_s
from robinthread._internal.jobs.run import Run
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s


def record_start_lease(
    runtime: PoolRuntime, run: Run, host: Host, order: StartOrder, clock_ms: int | None
) -> None:
    """Record the lease of a start that a host has answered with its clock.

    It is longer than was meant if another incarnation has answered, whose clock is behind the one
    by which the lease was granted.
    """
    if clock_ms is None:
        return
    over_at_s = runtime.record_lease(host.record.id, order.lease_until_ms, clock_ms)
    if over_at_s is None:
        return
    runtime.jobs.record_irregular(list(host.runs.values()))
    runtime.wake()
    runtime.events.write(
        "start_misdirected",
        job=run.task.job_id,
        task=run.task.position,
        run=run.number,
        host=host.id,
        clock_ms=clock_ms,
        lease_until_ms=order.lease_until_ms,
        lease_over_in_s=round(over_at_s - get_loop_s(), 3),
    )


def expect_longest_lease(runtime: PoolRuntime, run: Run, host: Host, sent_at_s: float) -> None:
    """Record that the next incarnation may have taken a start without a response.

    The start was sent at ``sent_at_s``, in seconds of the event loop's clock.
    """
    longest_ms = runtime.context.settings.bounds.lease_max_ms
    run.lease_over_at_s = get_lapse_time_s(longest_ms, get_loop_s())
    runtime.record_unanswered_order(host, sent_at_s)
    runtime.jobs.record_irregular([run])
