"""Keeps the policies of a pool's jobs in line with the configuration."""

from collections import Counter

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.policy_resolution import (
    PolicySource,
    ResolvedPolicy,
    resolve_policy,
)
from robinthread._internal.models.job_policy import StoredPolicy
from robinthread._internal.models.job_spec import JobSpec
from robinthread._internal.node.pool_runtime import PoolRuntime


class JobPolicies:
    """Resolves the policies of a pool's jobs, again for each new configuration.

    A job whose queue is no longer configured keeps the last policy that is known.
    """

    def __init__(self, runtime: PoolRuntime) -> None:
        self._runtime = runtime
        self._applied_version: int | None = None

    def resolve(self, spec: JobSpec, last: StoredPolicy | None) -> ResolvedPolicy:
        """Return the policy of a job by the configuration that is in force here.

        ``last`` is the policy stored with the job's progress.
        """
        config = self._runtime.context.config_holder.config
        resolved = resolve_policy(spec, config, last)
        if resolved.source is not PolicySource.CONFIGURATION:
            self._runtime.events.write(
                "job_policy_fallback",
                job=spec.job_id,
                pool=self._runtime.pool,
                queue=spec.queue,
                outcome=resolved.source.value,
                config_version=None if config is None else config.version,
                accepted_in_version=spec.config_version,
                attempts_max=resolved.policy.attempts_max,
            )
        return resolved

    def update(self) -> None:
        """Apply a configuration that has come into force since the last call."""
        config = self._runtime.context.config_holder.config
        if config is None or config.version == self._applied_version:
            return
        self._applied_version = config.version
        open_jobs = [job for job in self._runtime.jobs.jobs.values() if not job.status.is_final]
        changed = [job for job in open_jobs if self._update_job(job)]
        if changed:
            self._runtime.events.write(
                "job_policies_changed",
                pool=self._runtime.pool,
                config_version=config.version,
                job_count=len(changed),
                by_source=dict(Counter(job.policy_source.value for job in changed)),
            )

    def _update_job(self, job: Job) -> bool:
        """Apply the policy that is in force now; return whether that changes the job's."""
        config = self._runtime.context.config_holder.config
        resolved = resolve_policy(job.spec, config, job.last_policy)
        is_configured = config is not None and job.spec.queue in config.queues
        if job.policy_source.is_known and not is_configured:
            return False
        before = ResolvedPolicy(job.policy, job.policy_source, job.last_policy)
        if resolved == before:
            return False
        self._runtime.jobs.set_policy(job, resolved)
        return True
