"""Worth of a day, computed from the outcomes of its jobs."""

from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from robinthread._internal.experiments.deployment import PricesSpec, QueueSpec

WINDOW_S: Final = 2.0


@dataclass(frozen=True)
class JobOutcome:
    """Outcome of a job that was submitted ``at_s`` after the day's start.

    ``work_s`` is the duration of its longest task.  ``ended_at_s`` is when the last of its tasks
    was done, as recorded by the host, or None if the job did not finish.
    """

    queue: str
    at_s: float
    work_s: float
    ended_at_s: float | None

    @property
    def took_s(self) -> float | None:
        """Return the seconds from the first submission to the end, None if there was no end."""
        return None if self.ended_at_s is None else self.ended_at_s - self.at_s


@dataclass(frozen=True)
class Worth:
    """Worth of a day and its parts, as shares of the worth of all submitted jobs.

    ``on_time`` is the share of the jobs that were on time, weighted by worth.  ``worst_window``
    and ``worst_queue`` are the lowest such shares of the jobs of a window of ``WINDOW_S`` and of
    a queue.  ``prices`` is the cost of machines and moves, and ``total`` is ``on_time`` minus
    ``prices``.
    """

    total: float
    on_time: float
    worst_window: float
    worst_queue: float
    prices: float


def is_on_time(job: JobOutcome, queue: QueueSpec) -> bool:
    """Return whether a job finished on time."""
    took_s = job.took_s
    return took_s is not None and took_s <= queue.stretch * job.work_s + queue.slack_s


def compute_worth(
    jobs: Collection[JobOutcome],
    queues: dict[str, QueueSpec],
    prices: PricesSpec,
    machine_s: float,
    move_count: int,
) -> Worth:
    """Return the worth of a day; ``machine_s`` is the time of machines in pools."""
    by_window: dict[str, list[JobOutcome]] = defaultdict(list)
    by_queue: dict[str, list[JobOutcome]] = defaultdict(list)
    for job in jobs:
        by_window[str(int(job.at_s / WINDOW_S))].append(job)
        by_queue[job.queue].append(job)
    on_time = compute_on_time_share(jobs, queues)
    total_worth = sum(queues[job.queue].worth for job in jobs)
    cost = prices.machine_s * machine_s + prices.move * move_count
    price_share = cost / total_worth if total_worth else 0.0
    return Worth(
        on_time - price_share,
        on_time,
        min((compute_on_time_share(group, queues) for group in by_window.values()), default=1.0),
        min((compute_on_time_share(group, queues) for group in by_queue.values()), default=1.0),
        price_share,
    )


def compute_on_time_share(jobs: Iterable[JobOutcome], queues: dict[str, QueueSpec]) -> float:
    """Return the share of jobs on time, weighted by worth; 1 if the total worth is 0."""
    rows = [(queues[job.queue].worth, is_on_time(job, queues[job.queue])) for job in jobs]
    total_worth = sum(worth for worth, _ in rows)
    return (
        sum(worth for worth, job_is_on_time in rows if job_is_on_time) / total_worth
        if total_worth
        else 1.0
    )
