"""Summary of the work of a pool's jobs that has no hosts, by when it must start."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.packing import get_largest_capacity, get_packing_factor
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.remaining_time import get_slack_of_spans_s, list_step_spans
from robinthread._internal.jobs.resource_vector import ZERO_VECTOR, ResourceVector, as_vector
from robinthread._internal.models.open_work import ExpectedWork, OpenWork, PoolWorkReport
from robinthread._internal.models.resources import Resources

# Work that must start within the same span of this length is summed.
START_STEP_S: Final = 0.25
# Maximum of ``OpenWork.worth``, so that the last tasks of a job take no host from whole jobs.
WORTH_MAX: Final = 4.0


@dataclass(frozen=True, slots=True)
class _WaitingWork:
    """The tasks of a step that have no run yet; one of them takes ``task_s``.

    They must start within ``start_in_s`` for their job to be on time.  ``work`` is in
    resource-seconds, and ``worth`` that of ``OpenWork``.
    """

    start_in_s: float
    work: ResourceVector
    task_s: float
    worth: float
    is_late: bool

    @property
    def weight(self) -> float:
        """Return the weight of this work in the mean worth of several."""
        return max(self.work.cpu, 1.0)


def summarize_work(
    pool: PoolJobs, expected: ExpectedWork | None, now_s: float, now_ms: int
) -> PoolWorkReport:
    """Return the work of tasks that have no run yet, by when it must start.

    Jobs that no further host would help are left out: those of workspaces that have used up
    their shares, and those that may crash their hosts.
    """
    capacity = get_largest_capacity(pool)
    late = ZERO_VECTOR
    by_start: defaultdict[int, list[_WaitingWork]] = defaultdict(list)
    for job, occurrence in _iter_occurrences(pool):
        for waiting in _iter_waiting(pool, job, occurrence, capacity, now_s, now_ms):
            if waiting.is_late:
                late += waiting.work
            else:
                by_start[math.floor(waiting.start_in_s / START_STEP_S)].append(waiting)
    on_time = (_sum_waiting(start, parts) for start, parts in sorted(by_start.items()))
    return PoolWorkReport(tuple(on_time), _as_tuple(late), expected)


def _sum_waiting(start: int, parts: Sequence[_WaitingWork]) -> OpenWork:
    """Return the sum of work that must start within the span with number ``start``."""
    work = sum((part.work for part in parts), start=ZERO_VECTOR)
    worth = sum(part.worth * part.weight for part in parts)
    return OpenWork(
        start_in_ms=round(1000 * START_STEP_S * (start + 0.5)),
        work=_as_tuple(work),
        task_ms=round(1000 * max(part.task_s for part in parts)),
        worth=round(worth / max(work.cpu, 1.0), 2),
    )


def _iter_waiting(
    pool: PoolJobs, job: Job, occurrence: int, capacity: Resources, now_s: float, now_ms: int
) -> Iterator[_WaitingWork]:
    """Iterate over the waiting work of an occurrence by step, for hosts of a ``capacity``."""
    spans = list_step_spans(pool, job, occurrence, now_s)
    slack_s = get_slack_of_spans_s(pool, job, occurrence, spans, now_ms)
    counts = _count_waiting(job, occurrence)
    worth = _get_worth(pool, job, counts)
    for span, step, count in zip(spans, job.spec.steps, counts, strict=True):
        if not count:
            continue
        task_s = pool.run_times.estimate_s(job.spec.queue, step)
        factor = get_packing_factor(step.resources, capacity)
        yield _WaitingWork(
            slack_s + span.begins_in_s,
            as_vector(step.resources).scale(count * task_s * factor),
            task_s,
            worth,
            is_late=job.is_beyond_share or slack_s < 0,
        )


def _count_waiting(job: Job, occurrence: int) -> tuple[int, ...]:
    """Return how many tasks of each step are not done and have no run."""
    running = Counter((task.key.occurrence, task.key.step) for task in job.iter_running())
    return tuple(
        max(0, job.count_open(occurrence, number) - running[occurrence, number])
        for number in range(len(job.spec.steps))
    )


def _get_worth(pool: PoolJobs, job: Job, waiting_counts: Sequence[int]) -> float:
    """Return the ratio of the whole work of a job to the work of its tasks without a run."""
    whole = left = 0.0
    for step, waiting_count in zip(job.spec.steps, waiting_counts, strict=True):
        work = pool.run_times.estimate_s(job.spec.queue, step) * max(1, step.cpu_millicores)
        whole += step.task_count * work
        left += waiting_count * work
    return min(WORTH_MAX, whole / left) if left else 1.0


def _iter_occurrences(pool: PoolJobs) -> Iterator[tuple[Job, int]]:
    for job in pool.jobs.values():
        if job.status.is_final or job.spec.is_lasting or job.confirmed_crash_tasks:
            continue
        if job.spec.workspace in pool.workspaces.held_back and not any(job.iter_running()):
            continue
        for occurrence in job.iter_open_occurrences():
            yield job, occurrence


def _as_tuple(work: ResourceVector) -> tuple[float, float, float]:
    return round(work.cpu), round(work.memory), round(work.gpu, 3)
