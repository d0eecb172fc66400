"""How old a placement, and what it was based on, is when its start is sent."""

from typing import Any

from robinthread._internal.jobs.run import Run
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s


def record_sending(runtime: PoolRuntime, run: Run) -> float:
    """Record that a start is sent; return when it was first sent, by the loop's clock."""
    if run.sent_at_s is None:
        run.sent_at_s = get_loop_s()
        if run.placed_at_s is not None:
            since_placed_s = run.sent_at_s - run.placed_at_s
            runtime.events.metrics.record_sending(runtime.pool, since_placed_s)
    return run.sent_at_s


def make_age_fields(runtime: PoolRuntime, run: Run) -> dict[str, Any]:
    """Return log fields with how old the facts are by which a start is sent.

    ``placed_ago_ms`` is the time from the choice of its host until its start was first sent, or
    until now if it was not; None for a run that an earlier owner placed.  ``hosts_age_ms`` is the
    time since the store last confirmed the list of hosts.
    """
    sent_at_s = get_loop_s() if run.sent_at_s is None else run.sent_at_s
    placed_ago_s = None if run.placed_at_s is None else sent_at_s - run.placed_at_s
    return {
        "placed_ago_ms": None if placed_ago_s is None else round(placed_ago_s * 1000, 1),
        "hosts_age_ms": round(runtime.context.get_hosts_unconfirmed_s() * 1000, 1),
    }
