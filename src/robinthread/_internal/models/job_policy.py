"""The part of a queue's configuration that applies to its jobs after they are accepted."""

import msgspec

from robinthread._internal.models.queue_policy import AdvicePolicy, QueuePolicy
from robinthread._internal.utils.foreign_input import DurationMs, Number, Ratio


class JobPolicy(msgspec.Struct, frozen=True, array_like=True):
    """The fields of a ``QueuePolicy`` that a job's owner needs.

    It is stored with the job, so new fields are appended at the end and have a default.
    """

    priority: Number
    attempts_max: Number
    stretch: Ratio
    latency_target_ms: DurationMs
    advice: AdvicePolicy | None = None


class StoredPolicy(msgspec.Struct, frozen=True, array_like=True):
    """A policy and the version of the configuration that it is from."""

    policy: JobPolicy
    config_version: Number


def make_job_policy(queue: QueuePolicy) -> JobPolicy:
    """Return the policy that a queue's configuration gives to its jobs."""
    return JobPolicy(
        queue.priority, queue.attempts_max, queue.stretch, queue.latency_target_ms, queue.advice
    )


def make_queue_policy(name: str, pool: str, policy: JobPolicy) -> QueuePolicy:
    """Return a queue that is not in the configuration, with the policy of one of its jobs."""
    return QueuePolicy(
        name,
        host="",
        path_prefix="",
        pool=pool,
        priority=policy.priority,
        attempts_max=policy.attempts_max,
        stretch=policy.stretch,
        latency_target_ms=policy.latency_target_ms,
        advice=policy.advice,
    )
