"""Choice of the jobs to give up in a pool whose hosts can't complete all jobs on time."""

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.outlook import Outlook
from robinthread._internal.jobs.packing import get_largest_capacity, get_packing_factor
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.remaining_time import get_slack_of_spans_s, list_step_spans
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import Resources

# Share of the hosts' capacity that counts.  Hosts are partly idle between the steps of jobs.
USED_SHARE: Final = 0.9

# The job's id and the number of the occurrence.
OccurrenceKey = tuple[str, int]
_Rank = tuple[float, int, OccurrenceKey]


@dataclass(frozen=True, slots=True)
class _OpenOccurrence:
    """An occurrence that can be on time if it ends within ``due_s``.

    ``left_host_s`` is its work that is not done, in seconds of a host, and ``left_share`` the
    ratio of that to its whole work.  ``offset`` orders jobs by submission.
    """

    key: OccurrenceKey
    offset: int
    due_s: float
    left_host_s: float
    left_share: float


def assess_jobs(pool: PoolJobs, now_s: float, now_ms: int) -> Outlook:
    """Return the slack of open occurrences, and those to give up so that others are on time.

    Occurrences are considered by due time.  Where the work up to a due time exceeds what the
    hosts can do until then, those are given up that have the largest part of their work left,
    of these the last submitted.
    """
    capacity = get_largest_capacity(pool)
    slacks_s: dict[OccurrenceKey, float] = {}
    open_occurrences: list[_OpenOccurrence] = []
    for job, occurrence in _iter_open(pool):
        spans = list_step_spans(pool, job, occurrence, now_s)
        slack_s = get_slack_of_spans_s(pool, job, occurrence, spans, now_ms)
        slacks_s[job.id, occurrence] = slack_s
        if slack_s >= 0:
            due_s = slack_s + max(span.ends_in_s for span in spans)
            open_occurrences.append(_make_open(pool, job, occurrence, due_s, capacity))
    host_count = sum(
        host.is_eligible() and not host.is_needed_elsewhere for host in pool.hosts.values()
    )
    return Outlook(slacks_s, _choose_given_up(open_occurrences, host_count))


def _choose_given_up(
    occurrences: Iterable[_OpenOccurrence], host_count: int
) -> frozenset[OccurrenceKey]:
    """Return the occurrences to give up so that the others are on time on ``host_count`` hosts."""
    total_s = 0.0
    given_up: set[OccurrenceKey] = set()
    kept: list[tuple[_Rank, _OpenOccurrence]] = []
    for occurrence in sorted(occurrences, key=lambda occurrence: occurrence.due_s):
        total_s += occurrence.left_host_s
        heapq.heappush(kept, (_get_rank(occurrence), occurrence))
        while kept and total_s > USED_SHARE * host_count * occurrence.due_s:
            _rank, first = heapq.heappop(kept)
            total_s -= first.left_host_s
            given_up.add(first.key)
    return frozenset(given_up)


def _get_rank(occurrence: _OpenOccurrence) -> _Rank:
    """Return a sort key, unique to an occurrence; the lowest is given up first."""
    return (-occurrence.left_share, -occurrence.offset, occurrence.key)


def _make_open(
    pool: PoolJobs, job: Job, occurrence: int, due_s: float, capacity: Resources
) -> _OpenOccurrence:
    left_host_s = _get_left_host_s(pool, job, occurrence, capacity)
    whole_host_s = sum(
        step.task_count * _get_task_host_s(pool, job, step, capacity) for step in job.spec.steps
    )
    return _OpenOccurrence(
        (job.id, occurrence),
        job.offset,
        due_s,
        left_host_s,
        left_host_s / whole_host_s if whole_host_s else 0.0,
    )


def _iter_open(pool: PoolJobs) -> Iterator[tuple[Job, int]]:
    return (
        (job, occurrence)
        for job in pool.jobs.values()
        if not (job.status.is_final or job.spec.is_lasting or job.is_beyond_share)
        for occurrence in job.iter_open_occurrences()
    )


def _get_left_host_s(pool: PoolJobs, job: Job, occurrence: int, capacity: Resources) -> float:
    """Return the work of an occurrence that is not done, in seconds of a host."""
    return sum(
        job.count_open(occurrence, number) * _get_task_host_s(pool, job, step, capacity)
        for number, step in enumerate(job.spec.steps)
    )


def _get_task_host_s(pool: PoolJobs, job: Job, step: StepSpec, capacity: Resources) -> float:
    task_s = pool.run_times.estimate_s(job.spec.queue, step)
    share = step.resources.get_utilization(capacity)
    return task_s * share * get_packing_factor(step.resources, capacity)
