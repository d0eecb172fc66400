"""Remaining time of jobs, with what their running and stopped tasks have done."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.job_timing import get_allowed_duration_s
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run
from robinthread._internal.jobs.task import Task

# Minimum of the remaining time of a run, also if it should have ended by now.
LEFT_MIN_S: Final = 0.1


@dataclass(frozen=True, slots=True)
class StepSpan:
    """When the open tasks of a step would run if no task had to wait for a host."""

    number: int
    begins_in_s: float
    ends_in_s: float


def list_step_spans(
    pool: PoolJobs, job: Job, occurrence: int, now_s: float
) -> tuple[StepSpan, ...]:
    """Return the spans of all steps of an occurrence; those that are done take no time."""
    spans: list[StepSpan] = []
    for number, step in enumerate(job.spec.steps):
        begins_s = max((spans[earlier].ends_in_s for earlier in step.after_steps), default=0.0)
        takes_s = 0.0
        if job.count_open(occurrence, number):
            tasks = job.get_tasks(occurrence, number)
            takes_s = max(
                _get_task_left_s(pool, job, task, now_s) for task in tasks if not task.is_done
            )
        spans.append(StepSpan(number, begins_s, begins_s + takes_s))
    return tuple(spans)


def get_actual_slack_s(
    pool: PoolJobs, job: Job, occurrence: int, now_s: float, now_ms: int
) -> float:
    """Return how many seconds an occurrence may still wait and be on time; negative if late.

    Unlike ``job_timing.get_slack_s`` this counts what running and stopped tasks have done.
    """
    return get_slack_of_spans_s(
        pool, job, occurrence, list_step_spans(pool, job, occurrence, now_s), now_ms
    )


def get_slack_of_spans_s(
    pool: PoolJobs, job: Job, occurrence: int, spans: Sequence[StepSpan], now_ms: int
) -> float:
    """Return the slack of an occurrence with these spans in seconds."""
    began_ms = job.get_due_ms(occurrence) or job.spec.accepted_at_ms
    left_s = get_allowed_duration_s(job, pool.run_times) - (now_ms - began_ms) / 1000
    return left_s - max((span.ends_in_s for span in spans), default=0.0)


def _get_task_left_s(pool: PoolJobs, job: Job, task: Task, now_s: float) -> float:
    """Return the estimated time that a task still takes; infinite for a lasting task."""
    if task.step.is_lasting:
        return math.inf
    takes_s = pool.run_times.estimate_s(job.spec.queue, task.step)
    stopped_left_s = takes_s * (1 - task.checkpoint_percent / 100)
    return min((_estimate_left_s(run, takes_s, now_s) for run in task.runs), default=stopped_left_s)


def get_run_left_s(pool: PoolJobs, run: Run, now_s: float) -> float:
    """Return the estimated time until a run ends by itself, infinite for a lasting task."""
    job = pool.jobs[run.task.job_id]
    step = job.spec.steps[run.task.step]
    if step.is_lasting:
        return math.inf
    return _estimate_left_s(run, pool.run_times.estimate_s(job.spec.queue, step), now_s)


def _estimate_left_s(run: Run, takes_s: float, now_s: float) -> float:
    """Return the remaining time of a run whose task takes ``takes_s``, at least ``LEFT_MIN_S``."""
    left_s = takes_s * (1 - run.progress_percent / 100)
    if run.present_since_s is not None:
        left_s -= now_s - run.progress_at_s
    return max(LEFT_MIN_S, left_s)
