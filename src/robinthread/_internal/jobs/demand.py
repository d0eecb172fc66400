"""Forecast of the resources that a pool's jobs need, now and once newly fetched hosts serve."""

import math
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
from robinthread._internal.jobs.job_arrivals import JobArrivals
from robinthread._internal.jobs.job_timing import (
    StepForecast,
    get_slack_s,
    iter_forecasts,
)
from robinthread._internal.jobs.leaving_steps import list_leaving_steps
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.resource_vector import ZERO_VECTOR, ResourceVector, as_vector
from robinthread._internal.jobs.run_times import RunTimes
from robinthread._internal.jobs.suspects import count_hosts_for_trials
from robinthread._internal.jobs.waiting_steps import WaitingStep, list_waiting_steps
from robinthread._internal.models.open_work import ExpectedWork
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.settings.policy_settings import DemandPolicy

# Target time within which waiting tasks should start once the fetched hosts serve.
BACKLOG_DRAIN_S: Final = 2.0
# Share of the forecast that is added as a margin for random variation of the load.
HEADROOM_SHARE: Final = 0.0
# Hosts are kept for tasks that will run within the lead time of a new host plus this.
KEEP_AHEAD_S: Final = 0.5

# Identifies an occurrence of a job: the job's id and the number of the occurrence.
OccurrenceKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Demand:
    """The resources and hosts that a pool needs.

    ``fetch`` are the resources for which the pool should fetch hosts, ``keep`` those for which
    it should keep the hosts that it has, and ``urgent`` those to keep without jobs that can no
    longer be on time.  ``lasting`` is the part of all three that lasting tasks use.  At least
    ``hosts_min`` hosts are needed for tasks that may not share a host.  ``host_requirements``
    cover the tasks that do not fit on every host.
    """

    fetch: Resources
    keep: Resources
    urgent: Resources
    hosts_min: int
    lasting: Resources
    host_requirements: HostRequirements


class DemandForecaster:
    """Forecasts a pool's demand from its open jobs and from the arrival rate of new ones.

    ``lead_s`` is the time from the request for a host until the host runs its first task.
    """

    def __init__(self, lead_s: float, policy: DemandPolicy) -> None:
        self._lead_s = lead_s
        self._policy = policy
        self._arrivals = JobArrivals(policy.rise_ahead_s)

    def record_job(self, job: Job, times: RunTimes, now_s: float) -> None:
        """Add a submitted job to the arrival statistics."""
        self._arrivals.record_job(job, times, now_s)

    def forecast(self, pool: PoolJobs, now_s: float, now_ms: int) -> Demand:
        """Return the resources and hosts that the pool's tasks need."""
        late = _find_late_occurrences(pool, now_ms)
        lasting = _sum_lasting_resources(pool)
        # A job with a task that crashes its hosts may never complete, so no hosts are fetched for
        # it, except those on which a gang is tried.
        steps = [
            step
            for step in list_waiting_steps(pool)
            if (step.spec.is_gang or not step.job.confirmed_crash_tasks)
            and not _is_held_back(pool, step.job)
        ]
        step_demands = [self._get_step_demand(pool, step, late) for step in steps]
        step_demands += [StepDemand(step, step.task_count) for step in list_leaving_steps(pool)]
        arriving = self._arrivals.get_resources(now_s)
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
            max(_count_hosts_for_lasting(pool), count_hosts_for_trials(pool)),
            lasting.round(),
            find_host_requirements(pool, step_demands, now_s)
            if step_demands
            else HostRequirements(),
        )

    def get_expected_work(self, now_s: float) -> ExpectedWork | None:
        """Return the work that arrives if the last window's rate goes on, None without arrivals."""
        return self._arrivals.get_expected_work(now_s)

    def _get_fetch_and_keep(
        self, forecasts: Sequence[StepForecast], waiting: ResourceVector, arriving: ResourceVector
    ) -> tuple[ResourceVector, ResourceVector]:
        """Return the resources to fetch hosts for, and the resources to keep hosts for."""
        expected = self._forecast(forecasts, arriving, self._lead_s).scale(1 + HEADROOM_SHARE)
        fetch = keep = expected + waiting.scale(1 / BACKLOG_DRAIN_S)
        for ahead_s in (0.0, self._lead_s / 2, self._lead_s + KEEP_AHEAD_S):
            keep = keep.max(self._forecast(forecasts, arriving, ahead_s))
        return fetch, keep

    def _forecast(
        self, forecasts: Iterable[StepForecast], arriving: ResourceVector, ahead_s: float
    ) -> ResourceVector:
        """Return the resources in use ``ahead_s`` from now if no task had to wait for a host."""
        known = (
            step.resources for step in forecasts if step.begins_in_s <= ahead_s < step.ends_in_s
        )
        mean_s = self._arrivals.mean_critical_path_s
        started_share = min(1.0, ahead_s / mean_s) if mean_s else 0.0
        return sum(known, start=ZERO_VECTOR) + arriving.scale(started_share)

    def _forecast_all(
        self, pool: PoolJobs, late: frozenset[OccurrenceKey], now_s: float
    ) -> tuple[list[StepForecast], list[StepForecast]]:
        """Return forecasts for the open steps of on-time occurrences, and of late ones."""
        on_time: list[StepForecast] = []
        too_late: list[StepForecast] = []
        for job in pool.jobs.values():
            if job.status.is_final or job.spec.is_lasting or job.confirmed_crash_tasks:
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
        """Return how many of a step's waiting tasks should run in parallel.

        With that many, all of them start within about ``BACKLOG_DRAIN_S``.
        """
        count = step.task_count - step.copy_count
        if step.spec.is_lasting:
            return StepDemand(step, count)
        if step.spec.is_gang:
            # A gang starts as a whole, so the late share does not reduce its demand.
            return StepDemand(step, count)
        duration_s = pool.run_times.estimate_s(step.job.spec.queue, step.spec)
        share = self._get_host_share((step.job.id, step.occurrence), late)
        return StepDemand(step, share * count * min(1.0, duration_s / BACKLOG_DRAIN_S))

    def _get_host_share(
        self, occurrence_key: OccurrenceKey, late: frozenset[OccurrenceKey]
    ) -> float:
        """Return the share of an occurrence's resources for which hosts are requested."""
        return self._policy.late_share if occurrence_key in late else 1.0


def _is_held_back(pool: PoolJobs, job: Job) -> bool:
    """Tell whether more hosts would not help a job, since its workspace's share is used up."""
    return job.spec.workspace in pool.workspaces.held_back


def _sum_waiting(
    pool: PoolJobs, steps: Iterable[WaitingStep], late: frozenset[OccurrenceKey]
) -> tuple[ResourceVector, ResourceVector]:
    """Return the work of waiting tasks in resource-seconds: of on-time jobs, and of late ones."""
    sums = {False: ZERO_VECTOR, True: ZERO_VECTOR}
    for step in steps:
        if not step.spec.is_lasting:
            duration_s = pool.run_times.estimate_s(step.job.spec.queue, step.spec)
            is_late = (step.job.id, step.occurrence) in late
            sums[is_late] += as_vector(step.spec.resources).scale(step.task_count * duration_s)
    return sums[False], sums[True]


def _get_widest_gang(steps: Iterable[WaitingStep]) -> ResourceVector:
    """Return the largest amount of each resource that a waiting gang needs at once.

    Late gangs count as well, since a gang starts as a whole.  Lasting gangs are left out, since
    lasting tasks are counted separately.
    """
    amounts = (
        as_vector(step.spec.resources).scale(step.task_count)
        for step in steps
        if step.spec.is_gang and not step.spec.is_lasting
    )
    return reduce(ResourceVector.max, amounts, ZERO_VECTOR)


def _find_late_occurrences(pool: PoolJobs, now_ms: int) -> frozenset[OccurrenceKey]:
    """Return the occurrences that can no longer be on time or exceed their workspace's share."""
    return frozenset(
        (job.id, occurrence)
        for job in pool.jobs.values()
        if not job.status.is_final and not job.spec.is_lasting
        for occurrence in job.iter_open_occurrences()
        if job.is_beyond_share or get_slack_s(job, occurrence, pool.run_times, now_ms) < 0
    )


def _count_hosts_for_lasting(pool: PoolJobs) -> int:
    """Return how many hosts the lasting step with the widest spread needs; 0 without a limit.

    Only steps that limit their tasks per host count.
    """
    counts = (
        math.ceil(step.task_count / step.per_host_max)
        for job in pool.jobs.values()
        if not job.status.is_final
        for step in job.spec.steps
        if step.is_lasting and step.per_host_max
    )
    return max(counts, default=0)


def _sum_lasting_resources(pool: PoolJobs) -> ResourceVector:
    """Return the resources of all lasting tasks of open jobs."""
    amounts = (
        step.resources.scale(step.task_count)
        for job in pool.jobs.values()
        if not job.status.is_final
        for step in job.spec.steps
        if step.is_lasting
    )
    return as_vector(sum(amounts, start=NO_RESOURCES))
