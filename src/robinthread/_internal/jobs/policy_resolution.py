"""Which policy applies to a job: the configuration's, or the newest one stored with the job."""

import enum
from dataclasses import dataclass

from robinthread._internal.models.fleet_config import FleetConfig
from robinthread._internal.models.job_policy import (
    StoredPolicy,
    make_job_policy,
    make_queue_policy,
)
from robinthread._internal.models.job_spec import JobSpec
from robinthread._internal.models.queue_policy import QueuePolicy


class PolicySource(enum.Enum):
    """Where a job's policy comes from.

    CONFIGURATION: the configuration has the job's queue.
    ACCEPTANCE: the configuration is not read yet, is older than the job, or lacks its queue, so
    the policy stored with the job's acceptance applies.
    PROGRESS: the same, but a later policy is stored with the job's progress.
    MISSING: the configuration lacks the queue, and no policy is stored with the job.
    UNREAD: no configuration is read yet, and no policy is stored with the job.
    """

    CONFIGURATION = "configuration"
    ACCEPTANCE = "acceptance"
    PROGRESS = "progress"
    MISSING = "missing"
    UNREAD = "unread"

    @property
    def is_known(self) -> bool:
        """Return whether the policy is one that the operators published."""
        return self not in (PolicySource.MISSING, PolicySource.UNREAD)


@dataclass(frozen=True, slots=True)
class ResolvedPolicy:
    """A job's policy and its source.

    ``to_store`` is the policy that the job's progress must hold from now on, because it differs
    from that of the acceptance; None if there is none.
    """

    policy: QueuePolicy
    source: PolicySource
    to_store: StoredPolicy | None = None


def resolve_policy(
    spec: JobSpec, config: FleetConfig | None, last: StoredPolicy | None = None
) -> ResolvedPolicy:
    """Return the newest known policy of a job; ``last`` is the one stored with its progress.

    Jobs that processes of older versions accepted may have no stored policy.
    """
    queue = config.queues.get(spec.queue) if config is not None else None
    accepted = None if spec.policy is None else StoredPolicy(spec.policy, spec.config_version)
    stored = accepted if last is None else last
    is_older = config is not None and stored is not None and config.version < stored.config_version
    if config is not None and queue is not None and not is_older:
        to_store = _choose_to_store(queue, config.version, stored, last)
        return ResolvedPolicy(queue, PolicySource.CONFIGURATION, to_store)
    if stored is not None:
        source = PolicySource.ACCEPTANCE if last is None else PolicySource.PROGRESS
        policy = make_queue_policy(spec.queue, spec.pool, stored.policy)
        return ResolvedPolicy(policy, source, last)
    source = PolicySource.UNREAD if config is None else PolicySource.MISSING
    return ResolvedPolicy(QueuePolicy(spec.queue, "", "", spec.pool), source)


def _choose_to_store(
    queue: QueuePolicy, version: int, stored: StoredPolicy | None, last: StoredPolicy | None
) -> StoredPolicy | None:
    """Return a configured policy if it differs from the stored one, else what is stored."""
    policy = make_job_policy(queue)
    is_stored = stored is not None and stored.policy == policy
    return last if is_stored else StoredPolicy(policy, version)
