"""Deadlines of jobs and estimates of their remaining time."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.resource_vector import ResourceVector, as_vector
from robinthread._internal.jobs.run_times import RunTimes

# Least remaining time that is assumed for a step that should have ended by now.
OVERDUE_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class StepForecast:
    """When the open tasks of a step are expected to run, and the resources they take."""

    begins_in_s: float
    ends_in_s: float
    resources: ResourceVector


def get_slack_s(job: Job, occurrence: int, times: RunTimes, now_ms: int) -> float:
    """Return how many seconds an occurrence may still wait and be on time; negative if late."""
    began_ms = job.get_due_ms(occurrence) or job.spec.accepted_at_ms
    left_s = get_allowed_duration_s(job, times) - (now_ms - began_ms) / 1000
    return left_s - get_remaining_s(job, occurrence, times)


def get_allowed_duration_s(job: Job, times: RunTimes) -> float:
    """Return how many seconds a job may take and be on time.

    This is ``stretch`` times its critical path plus the latency target of its queue.
    """
    return (
        job.policy.stretch * get_critical_path_s(job, times) + job.policy.latency_target_ms / 1000
    )


def get_critical_path_s(job: Job, times: RunTimes) -> float:
    """Return the duration of the longest chain of the job's steps, in seconds."""
    return max(_get_ends_s(job, times, lambda number: True), default=0.0)


def get_remaining_s(job: Job, occurrence: int, times: RunTimes) -> float:
    """Return the duration of the longest chain of steps that are not done, in seconds."""
    ends_s = _get_ends_s(job, times, lambda number: job.count_open(occurrence, number) > 0)
    return max(ends_s, default=0.0)


def estimate_work(job: Job, times: RunTimes) -> ResourceVector:
    """Return the estimated work of a job that has not begun."""
    steps = job.spec.steps
    parts = (
        as_vector(step.resources).scale(step.task_count * times.estimate_s(job.spec.queue, step))
        for step in steps
    )
    return sum(parts, start=ResourceVector())


def iter_forecasts(
    job: Job, occurrence: int, times: RunTimes, now_s: float
) -> Iterator[StepForecast]:
    """Iterate over forecasts of the open steps, assuming capacity for all of them at once."""
    ends_s: list[float] = []
    for number, step in enumerate(job.spec.steps):
        open_count = job.count_open(occurrence, number)
        begins_s = max((ends_s[earlier] for earlier in step.after_steps), default=0.0)
        if not open_count:
            ends_s.append(begins_s)
            continue
        takes_s = times.estimate_s(job.spec.queue, step)
        if begins_s == 0.0:
            ran_s = _get_common_run_s(job, occurrence, number, now_s)
            takes_s = max(OVERDUE_S, takes_s - ran_s)
        ends_s.append(begins_s + takes_s)
        yield StepForecast(begins_s, ends_s[-1], as_vector(step.resources).scale(open_count))


def _get_common_run_s(job: Job, occurrence: int, step: int, now_s: float) -> float:
    """Return for how many seconds all open tasks of a step have run; 0 if any does not run."""
    open_tasks = [task for task in job.get_tasks(occurrence, step) if not task.is_done]
    began_s = [
        run.present_since_s
        for task in open_tasks
        for run in task.runs
        if run.present_since_s is not None
    ]
    if len(began_s) < len(open_tasks):
        return 0.0
    return now_s - max(began_s)


def _get_ends_s(job: Job, times: RunTimes, is_counted: Callable[[int], bool]) -> list[float]:
    """Return when each step ends, in seconds; steps that are not counted take no time."""
    ends_s: list[float] = []
    for number, step in enumerate(job.spec.steps):
        begins_s = max((ends_s[earlier] for earlier in step.after_steps), default=0.0)
        takes_s = times.estimate_s(job.spec.queue, step) if is_counted(number) else 0.0
        ends_s.append(begins_s + takes_s)
    return ends_s
