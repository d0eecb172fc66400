"""Which policy applies to a job: the configuration's, or the one it was accepted under."""

import enum
from dataclasses import dataclass

from robinthread._internal.models.fleet_config import FleetConfig
from robinthread._internal.models.job_policy import make_queue_policy
from robinthread._internal.models.job_spec import JobSpec
from robinthread._internal.models.queue_policy import QueuePolicy


class PolicySource(enum.Enum):
    """Where a job's policy comes from.

    CONFIGURATION: the configuration has the job's queue.
    ACCEPTANCE: the configuration is not read yet, is older than the job, or lacks its queue, so
    the policy stored with the job applies.
    MISSING: the configuration lacks the queue, and no policy is stored with the job.
    UNREAD: no configuration is read yet, and no policy is stored with the job.
    """

    CONFIGURATION = "configuration"
    ACCEPTANCE = "acceptance"
    MISSING = "missing"
    UNREAD = "unread"

    @property
    def is_known(self) -> bool:
        """Return whether the policy is one that the operators published."""
        return self in (PolicySource.CONFIGURATION, PolicySource.ACCEPTANCE)


@dataclass(frozen=True, slots=True)
class ResolvedPolicy:
    """A job's policy and its source."""

    policy: QueuePolicy
    source: PolicySource


def resolve_policy(spec: JobSpec, config: FleetConfig | None) -> ResolvedPolicy:
    """Return the newest known policy of a job.

    Jobs that processes of older versions accepted have no stored policy.
    """
    queue = config.queues.get(spec.queue) if config is not None else None
    is_older = config is not None and config.version < spec.config_version
    if queue is not None and (spec.policy is None or not is_older):
        return ResolvedPolicy(queue, PolicySource.CONFIGURATION)
    if spec.policy is not None:
        stored = make_queue_policy(spec.queue, spec.pool, spec.policy)
        return ResolvedPolicy(stored, PolicySource.ACCEPTANCE)
    source = PolicySource.UNREAD if config is None else PolicySource.MISSING
    return ResolvedPolicy(QueuePolicy(spec.queue, "", "", spec.pool), source)
