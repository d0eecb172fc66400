"""A check that jobs do not wait with nothing running while their pool has room."""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import replace

from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.standins.host_changes import HostChange, HostState
from robinthread._internal.standins.run_ledger import LedgerRun

# Time for which no task of a job may run, while there is room for all that wait.
IDLE_MAX_S = 3.0
LOOK_PERIOD_S = 0.25
# Ends after which a task runs again, once its owner has made sure of them.
LOST_ENDS = ("crashed", "lapsed")

Span = tuple[float, float]


def find_idle_spans(
    runs: Iterable[LedgerRun], accepted_at_s: Mapping[str, float], lag_s: float = 0.0
) -> dict[str, list[Span]]:
    """Return the spans longer than ``IDLE_MAX_S`` and ``lag_s`` in which no task ran, by job.

    A job is looked at from its acceptance to the end of its last run; jobs of which a run was
    lost, or that have no run, are not.  All times are of the event loop's clock.
    """
    by_job: dict[str, list[LedgerRun]] = defaultdict(list)
    for run in runs:
        by_job[run.task.job_id].append(run)
    spans = {
        job: list(_iter_idle(by_job[job], from_s, IDLE_MAX_S + lag_s))
        for job, from_s in accepted_at_s.items()
        if by_job[job] and not any(run.end in LOST_ENDS for run in by_job[job])
    }
    return {job: idle for job, idle in spans.items() if idle}


def _iter_idle(runs: list[LedgerRun], from_s: float, idle_max_s: float) -> Iterator[Span]:
    ordered = sorted(runs, key=lambda run: run.began_at_s)
    ends_s = (run.began_at_s if run.ended_at_s is None else run.ended_at_s for run in ordered)
    until_s = itertools.accumulate(ends_s, max, initial=from_s)
    for idle_from_s, run in zip(until_s, ordered, strict=False):
        if run.began_at_s - idle_from_s > idle_max_s:
            yield idle_from_s, run.began_at_s


def find_idle_jobs(
    runs: Sequence[LedgerRun],
    accepted_at_s: Mapping[str, float],
    changes: Mapping[str, Sequence[HostChange]],
    capacity: Resources,
    get_pool: Callable[[str], str],
    lag_s: float,
) -> list[str]:
    """Describe the jobs that had nothing running for too long while their pool had room.

    A pool has room while under half of the capacity of its ready hosts is in use.
    """
    idle = find_idle_spans(runs, accepted_at_s, lag_s)
    return [
        f"{job} in {get_pool(job)} had nothing running from {span[0]:.2f} to {span[1]:.2f} s"
        for job, spans in idle.items()
        for span in spans
        if _has_room(span, runs, _list_pool(changes, get_pool(job)), capacity)
    ]


def _list_pool(
    changes: Mapping[str, Sequence[HostChange]], pool: str
) -> dict[str, Sequence[HostChange]]:
    """Return the changes of the hosts that are or were in a pool, those elsewhere as their ends."""
    return {
        host: [
            change if change.pool == pool else replace(change, state=HostState.DOWN)
            for change in each
        ]
        for host, each in changes.items()
    }


def _has_room(
    span: Span,
    runs: Sequence[LedgerRun],
    pool: Mapping[str, Sequence[HostChange]],
    capacity: Resources,
) -> bool:
    """Return whether a pool had room twice over, each time that is looked at in a span."""
    looks = int((span[1] - span[0]) / LOOK_PERIOD_S)
    times_s = (span[0] + number * LOOK_PERIOD_S for number in range(looks))
    return all(_has_room_at(at_s, runs, pool, capacity) for at_s in times_s)


def _has_room_at(
    at_s: float,
    runs: Sequence[LedgerRun],
    pool: Mapping[str, Sequence[HostChange]],
    capacity: Resources,
) -> bool:
    ready = {host for host, changes in pool.items() if _is_ready(changes, at_s)}
    present = (
        run.resources
        for run in runs
        if run.host_id in ready
        and run.began_at_s <= at_s
        and (run.ended_at_s is None or run.ended_at_s > at_s)
    )
    used = sum(present, start=NO_RESOURCES)
    return 2 * used.cpu_millicores < len(ready) * capacity.cpu_millicores


def _is_ready(changes: Sequence[HostChange], at_s: float) -> bool:
    last = [change for change in changes if change.at_s <= at_s][-1:]
    return bool(last) and last[0].state is HostState.READY
