"""A check of the starts on hosts that drain, for soaks and drawn days."""

from collections.abc import Callable, Iterable, Mapping, Sequence

from robinthread._internal.standins.host_changes import HostChange, HostState
from robinthread._internal.standins.run_ledger import LedgerRun

# Time from the store's acceptance of a draining entry after which no start reaches the host.
DRAIN_S = 2.0

Span = tuple[float, float]


def find_starts_on_draining_hosts(
    runs: Iterable[LedgerRun],
    changes: Mapping[str, Sequence[HostChange]],
    allowed_s: float = DRAIN_S,
    is_judged: Callable[[LedgerRun, Span], bool] = lambda run, span: True,
) -> list[str]:
    """Describe the runs that began on a draining host later than allowed.

    A run counts if it ``is_judged``, given the time from the host's entry to the run's start.
    """
    late = ((run, _get_draining_since_s(run, changes[run.host_id])) for run in runs)
    return [
        f"{run.task} began on {run.host_id} {run.began_at_s - since_s:.3f} s after it said that "
        "it drains"
        for run, since_s in late
        if since_s is not None
        and run.began_at_s > since_s + allowed_s
        and is_judged(run, (since_s, run.began_at_s))
    ]


def _get_draining_since_s(run: LedgerRun, changes: Sequence[HostChange]) -> float | None:
    """Return since when a run's host drained at the run's start, None if it did not."""
    last = [change for change in changes if change.at_s <= run.began_at_s][-1:]
    return next((each.at_s for each in last if each.state is HostState.DRAINING), None)
