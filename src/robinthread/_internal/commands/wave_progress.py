"""Number of serving hosts of a pool over time, compared with its budget."""

import datetime
from collections.abc import Iterator, Sequence
from typing import Any, Final

from robinthread._internal.commands.client import Target, call
from robinthread._internal.results import FaultError, ResultCode, make_fault
from robinthread._internal.timeline.hybrid_clock import MS_PER_S, get_wall_ms

LEAVING_KINDS: Final = frozenset({"drain_permitted", "host_failed", "host_set_aside"})
RETURNING_KINDS: Final = frozenset({"host_returned", "host_recovered", "host_assigned"})
BAR: Final = "#"
FLOOR_MARK: Final = "|"


def run_wave_progress(target: Target, pool: str) -> int:
    """Print a line for each change of a pool's serving hosts in the daemon's event ring."""
    status = call(target, "GetStatus", {})
    found = next((entry for entry in status.pools if entry.name == pool), None)
    if found is None:
        raise FaultError(make_fault(ResultCode.NOT_FOUND, f"Pool {pool!r}"))
    hosts = [host.name for host in status.hosts if host.pool == pool]
    events = call(target, "GetTimeline", {"subjects": hosts}).events if hosts else []
    for line in _iter_lines(events, found.serving, found.min_serving_hosts):
        print(line)
    return 0


def _iter_lines(events: Sequence[Any], serving_now: int, floor: int) -> Iterator[str]:
    """Yield a line for each change, counting from the number that served before the first one.

    That number is derived from ``serving_now`` by undoing all changes.
    """
    changes = [(event, _get_change(event.kind)) for event in events if _get_change(event.kind)]
    serving = serving_now - sum(change for _, change in changes)
    for event, change in changes:
        serving += change
        at = datetime.datetime.fromtimestamp(get_wall_ms(event.stamp) / MS_PER_S, datetime.UTC)
        yield (
            f"{at:%H:%M:%S} {_draw(serving, floor)} {serving} of at least {floor}  "
            f"{event.kind} {event.subject}"
        )


def _get_change(kind: str) -> int:
    return (kind in RETURNING_KINDS) - (kind in LEAVING_KINDS)


def _draw(serving: int, floor: int) -> str:
    bar = BAR * serving
    return f"{bar[:floor]}{FLOOR_MARK}{bar[floor:]}"
