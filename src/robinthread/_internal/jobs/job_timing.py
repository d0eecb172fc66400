"""When a job should be done, and what is left of it."""

from collections.abc import Callable

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.run_times import RunTimes


def get_slack_s(job: Job, occurrence: int, times: RunTimes, now_ms: int) -> float:
    """Return how long an occurrence may still wait and be on time; negative if late.

    On time is ``stretch`` times the longest chain of steps, and the queue's
    target more.
    """
    chain_s = get_chain_s(job, times)
    began_ms = job.get_due_ms(occurrence) or job.spec.accepted_at_ms
    allowed_s = job.policy.stretch * chain_s + job.policy.latency_target_ms / 1000
    left_s = allowed_s - (now_ms - began_ms) / 1000
    return left_s - get_remaining_s(job, occurrence, times)


def get_chain_s(job: Job, times: RunTimes) -> float:
    """Return the longest chain of the job's steps."""
    return _get_longest_s(job, times, lambda step: True)


def get_remaining_s(job: Job, occurrence: int, times: RunTimes) -> float:
    """Return the longest chain of the steps that are not done."""
    return _get_longest_s(job, times, lambda step: job.count_open(occurrence, step) > 0)


def _get_longest_s(job: Job, times: RunTimes, is_counted: Callable[[int], bool]) -> float:
    ends_s: list[float] = []
    for number, step in enumerate(job.spec.steps):
        begins_s = max((ends_s[earlier] for earlier in step.after_steps), default=0.0)
        takes_s = times.estimate_s(job.spec.queue, step) if is_counted(number) else 0.0
        ends_s.append(begins_s + takes_s)
    return max(ends_s, default=0.0)
