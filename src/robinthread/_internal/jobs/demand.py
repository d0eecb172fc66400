"""How much room a pool's jobs need, now and when hosts fetched now would serve."""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from functools import reduce
from typing import Final

from robinthread._internal.jobs.host_requirements import (
    HostRequirements,
    StepDemand,
    find_host_requirements,
)
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.job_timing import (
    StepForecast,
    estimate_work,
    get_critical_path_s,
    get_slack_s,
    iter_forecasts,
)
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.resource_vector import ZERO_VECTOR, ResourceVector, as_vector
from robinthread._internal.jobs.run_times import RunTimes
from robinthread._internal.jobs.waiting_steps import WaitingStep, list_waiting_steps
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.settings.policy_settings import DemandPolicy

# Jobs handed in within twice so long tell the rate at which work arrives; those of
# the later half, against those of the earlier one, whether it rises.
RATE_WINDOW_S: Final = 0.9
# A rise counts that is so many times what chance alone brings.
RISE_DEVIATIONS_MIN: Final = 1.2
# Weight of a new job in the mean work of a job: some ten are remembered.
MEAN_JOB_WEIGHT: Final = 0.1
# What waits for room should begin within so long of the time hosts come.
BACKLOG_DRAIN_S: Final = 2.0
# Share of the forecast that is kept free for what chance brings on top.
HEADROOM_SHARE: Final = 0.0
# How far ahead hosts are kept for what will run, beyond the time that others need to come.
KEEP_AHEAD_S: Final = 0.5

# An occurrence of a job: the job's id and the occurrence's number.
OccurrenceKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Demand:
    """Room for which to fetch hosts, and room for which to keep them.

    Of the latter, ``urgent`` is without jobs that can no longer be on time.  Whatever the room,
    ``hosts_min`` hosts are needed for tasks that may not share one.  ``lasting`` is the part of
    the room that lasting tasks take.  ``host_requirements`` are those of tasks that do not
    fit on every host.
    """

    fetch: Resources
    keep: Resources
    urgent: Resources
    hosts_min: int
    lasting: Resources
    host_requirements: HostRequirements


class DemandForecaster:
    """Forecasts a pool's need from the jobs it has and those that should arrive.

    ``lead_s`` is how long a host takes from being asked for to its first task.
    """

    def __init__(self, lead_s: float, policy: DemandPolicy) -> None:
        self._lead_s = lead_s
        self._policy = policy
        self._arrivals_s: deque[float] = deque()
        self._mean_work: ResourceVector | None = None
        self._mean_chain_s = 0.0

    def record_job(self, job: Job, times: RunTimes, now_s: float) -> None:
        """Note a job that was handed in."""
        if job.spec.is_lasting or job.spec.is_timed:
            return
        work, chain_s = estimate_work(job, times), get_critical_path_s(job, times)
        if self._mean_work is None:
            self._mean_work, self._mean_chain_s = work, chain_s
        self._mean_work = self._mean_work.scale(1 - MEAN_JOB_WEIGHT) + work.scale(MEAN_JOB_WEIGHT)
        self._mean_chain_s += MEAN_JOB_WEIGHT * (chain_s - self._mean_chain_s)
        self._arrivals_s.append(now_s)

    def forecast(self, pool: PoolJobs, now_s: float, now_ms: int) -> Demand:
        """Return what the pool's tasks need."""
        late = _find_late_occurrences(pool, now_ms)
        lasting = _sum_lasting_resources(pool)
        # A job that may never be done is to get no hosts, but those for a gang to be tried on.
        steps = [
            step
            for step in list_waiting_steps(pool)
            if (step.spec.is_gang or not step.job.culprits) and not _is_held_back(pool, step.job)
        ]
        step_demands = [self._get_step_demand(pool, step, late) for step in steps]
        arriving = self._get_arriving_resources(now_s)
        on_time, too_late = self._forecast_all(pool, late, now_s)
        waiting_on_time, waiting_late = _sum_waiting(pool, steps, late)
        share = self._policy.late_share
        late_forecasts = [replace(step, resources=step.resources.scale(share)) for step in too_late]
        fetch, keep = self._get_fetch_and_keep(
            [*on_time, *late_forecasts], waiting_on_time + waiting_late.scale(share), arriving
        )
        _fetch, urgent = self._get_fetch_and_keep(on_time, waiting_on_time, arriving)
        gang = _get_widest_gang(steps)
        return Demand(
            (fetch.max(gang) + lasting).round(),
            (keep.max(gang) + lasting).round(),
            (urgent + lasting).round(),
            _count_hosts_for_lasting(pool),
            lasting.round(),
            find_host_requirements(pool, step_demands, now_s)
            if step_demands
            else HostRequirements(),
        )

    def _get_fetch_and_keep(
        self, forecasts: Sequence[StepForecast], waiting: ResourceVector, arriving: ResourceVector
    ) -> tuple[ResourceVector, ResourceVector]:
        """Return the room to fetch hosts for, and the room to keep them for."""
        expected = self._forecast(forecasts, arriving, self._lead_s).scale(1 + HEADROOM_SHARE)
        fetch = keep = expected + waiting.scale(1 / BACKLOG_DRAIN_S)
        for ahead_s in (0.0, self._lead_s / 2, self._lead_s + KEEP_AHEAD_S):
            keep = keep.max(self._forecast(forecasts, arriving, ahead_s))
        return fetch, keep

    def _forecast(
        self, forecasts: Iterable[StepForecast], arriving: ResourceVector, ahead_s: float
    ) -> ResourceVector:
        """Return the room that all tasks would take ``ahead_s`` from now, given room."""
        known = (
            step.resources for step in forecasts if step.begins_in_s <= ahead_s < step.ends_in_s
        )
        started_share = min(1.0, ahead_s / self._mean_chain_s) if self._mean_chain_s else 0.0
        return sum(known, start=ZERO_VECTOR) + arriving.scale(started_share)

    def _forecast_all(
        self, pool: PoolJobs, late: frozenset[OccurrenceKey], now_s: float
    ) -> tuple[list[StepForecast], list[StepForecast]]:
        """Return the steps that are not done of jobs in time, and of late ones."""
        on_time: list[StepForecast] = []
        too_late: list[StepForecast] = []
        for job in pool.jobs.values():
            if job.status.is_final or job.spec.is_lasting or job.culprits:
                continue
            if _is_held_back(pool, job) and not any(job.iter_running()):
                continue
            for occurrence in job.iter_open_occurrences():
                found = too_late if (job.id, occurrence) in late else on_time
                found += iter_forecasts(job, occurrence, pool.run_times, now_s)
        return on_time, too_late

    def _get_step_demand(
        self, pool: PoolJobs, step: WaitingStep, late: frozenset[OccurrenceKey]
    ) -> StepDemand:
        """Return how many tasks of a step should run at a time for all to begin in time."""
        count = step.task_count - step.copy_count
        if step.spec.is_lasting:
            return StepDemand(step, count)
        if step.spec.is_gang:
            # It begins whole or not at all, however late it is.
            return StepDemand(step, count)
        duration_s = pool.run_times.estimate_s(step.job.spec.queue, step.spec)
        share = self._get_host_share((step.job.id, step.occurrence), late)
        return StepDemand(step, share * count * min(1.0, duration_s / BACKLOG_DRAIN_S))

    def _get_host_share(
        self, occurrence_key: OccurrenceKey, late: frozenset[OccurrenceKey]
    ) -> float:
        """Return the share of an occurrence's room for which to ask for hosts."""
        return self._policy.late_share if occurrence_key in late else 1.0

    def _get_arriving_resources(self, now_s: float) -> ResourceVector:
        """Return the room that jobs of usual size need at the rate they arrive at.

        One large job tells nothing of the next: it is counted where its tasks are.
        """
        while self._arrivals_s and now_s - self._arrivals_s[0] > 2 * RATE_WINDOW_S:
            self._arrivals_s.popleft()
        if self._mean_work is None:
            return ZERO_VECTOR
        return self._mean_work.scale(self._get_arrival_rate(now_s))

    def _get_arrival_rate(self, now_s: float) -> float:
        """Return the rate over both windows, or over the later one where it has risen.

        A rise is carried forward by as much as the policy says.
        """
        total = len(self._arrivals_s)
        recent = sum(now_s - at_s <= RATE_WINDOW_S for at_s in self._arrivals_s)
        rise = 2 * recent - total
        if recent < 2 or rise < RISE_DEVIATIONS_MIN * math.sqrt(total):
            return total / (2 * RATE_WINDOW_S)
        ahead_windows = self._policy.rise_ahead_s / RATE_WINDOW_S
        return (recent + rise * ahead_windows) / RATE_WINDOW_S


def _is_held_back(pool: PoolJobs, job: Job) -> bool:
    """Tell whether more hosts would not help a job: its workspace's share is taken."""
    return job.spec.workspace in pool.workspaces.held_back


def _sum_waiting(
    pool: PoolJobs, steps: Iterable[WaitingStep], late: frozenset[OccurrenceKey]
) -> tuple[ResourceVector, ResourceVector]:
    """Sum the work of the tasks that wait for a host: of jobs in time, and of late ones."""
    sums = {False: ZERO_VECTOR, True: ZERO_VECTOR}
    for step in steps:
        if not step.spec.is_lasting:
            duration_s = pool.run_times.estimate_s(step.job.spec.queue, step.spec)
            is_late = (step.job.id, step.occurrence) in late
            sums[is_late] += as_vector(step.spec.resources).scale(step.task_count * duration_s)
    return sums[False], sums[True]


def _get_widest_gang(steps: Iterable[WaitingStep]) -> ResourceVector:
    """Return the room that the widest waiting gang that ends needs at once, late or not."""
    amounts = (
        as_vector(step.spec.resources).scale(step.task_count)
        for step in steps
        if step.spec.is_gang and not step.spec.is_lasting
    )
    return reduce(ResourceVector.max, amounts, ZERO_VECTOR)


def _find_late_occurrences(pool: PoolJobs, now_ms: int) -> frozenset[OccurrenceKey]:
    """Return the occurrences of jobs that can no longer be on time, or are beyond a share."""
    return frozenset(
        (job.id, occurrence)
        for job in pool.jobs.values()
        if not job.status.is_final and not job.spec.is_lasting
        for occurrence in job.iter_open_occurrences()
        if job.is_beyond_share or get_slack_s(job, occurrence, pool.run_times, now_ms) < 0
    )


def _count_hosts_for_lasting(pool: PoolJobs) -> int:
    """Return on how many hosts the lasting tasks of the widest step must be spread."""
    counts = (
        math.ceil(step.task_count / step.per_host_max)
        for job in pool.jobs.values()
        if not job.status.is_final
        for step in job.spec.steps
        if step.is_lasting and step.per_host_max
    )
    return max(counts, default=0)


def _sum_lasting_resources(pool: PoolJobs) -> ResourceVector:
    """Sum the room of all lasting tasks."""
    amounts = (
        step.resources.scale(step.task_count)
        for job in pool.jobs.values()
        if not job.status.is_final
        for step in job.spec.steps
        if step.is_lasting
    )
    return as_vector(sum(amounts, start=NO_RESOURCES))
