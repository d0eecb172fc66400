"""Takes jobs from the inbox into a pool."""

from collections.abc import Callable, Mapping

from robinthread._internal.durable.job_index import IndexedJob
from robinthread._internal.jobs.demand import DemandForecaster
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.progress import JobProgress
from robinthread._internal.node.job_policies import JobPolicies
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.utils.error_text import describe_error


class JobIntake:
    """Adds the jobs of a pool, with the progress that earlier owners recorded, and cancels them.

    ``is_open`` returns whether the pool is open.  ``loaded_count`` is the number of jobs whose
    progress was loaded.
    """

    def __init__(
        self,
        runtime: PoolRuntime,
        policies: JobPolicies,
        demand: DemandForecaster,
        is_open: Callable[[], bool],
    ) -> None:
        self._runtime = runtime
        self._context = runtime.context
        self._jobs = runtime.jobs
        self._policies = policies
        self._demand = demand
        self._is_open = is_open
        self._progress: dict[str, JobProgress] = {}
        self.loaded_count = 0

    def load(self, progress: Mapping[str, JobProgress]) -> None:
        """Keep the recorded progress of jobs, by job id, until each job is taken."""
        self._progress.update(progress)
        self.loaded_count = len(self._progress)

    def drain_orphans(self) -> list[JobProgress]:
        """Return and forget the progress of jobs that the inbox does not have."""
        orphans, self._progress = list(self._progress.values()), {}
        return orphans

    def take(self, indexed: IndexedJob) -> None:
        """Handle a job; one that cannot be handled costs the pool its owner at most once.

        The pool's next owner finds the job in its inbox and opens the pool without it.
        """
        try:
            self._handle(indexed)
        except Exception as error:
            job = indexed.spec.job_id
            if self._is_open():
                self._runtime.give_up(f"job/{job}", error)
            else:
                pool = self._runtime.pool
                self._runtime.events.write(
                    "job_left_out", job=job, pool=pool, **describe_error(error)
                )

    def _handle(self, indexed: IndexedJob) -> None:
        """Add a new job to the pool, or cancel a job that has a new cancel record."""
        spec = indexed.spec
        if spec.pool != self._runtime.pool:
            return
        job = self._jobs.jobs.get(spec.job_id)
        if job is None:
            job = self._add(indexed)
        if indexed.is_cancelled and not job.status.is_final:
            self._runtime.events.write("job_cancelled", job=job.id, pool=self._runtime.pool)
            self._jobs.cancel(job, self._context.get_wall_ms())
        self._jobs.queue_due_tasks(job, self._context.get_wall_ms())
        self._runtime.wake()

    def _add(self, indexed: IndexedJob) -> Job:
        spec = indexed.spec
        progress = self._progress.pop(spec.job_id, None)
        last_policy = None if progress is None else progress.last_policy
        resolved = self._policies.resolve(spec, last_policy)
        job = self._jobs.add_job(
            spec, resolved.policy, indexed.offset, get_loop_s(), progress, resolved.source
        )
        job.last_policy = last_policy
        if not job.status.is_final:
            self._jobs.set_policy(job, resolved)
        ranks = self._context.policy.workspaces.ranks_beyond_share
        job.is_beyond_share = ranks and indexed.is_beyond_share
        if progress is None:
            self._demand.record_job(job, self._jobs.run_times, get_loop_s())
        if job.status.is_final:
            self._stop_runs(job)
        else:
            self._log_taken(job, indexed)
        return job

    def _stop_runs(self, job: Job) -> None:
        for task in list(job.iter_running()):
            for run in list(task.runs):
                self._jobs.stop(run)

    def _log_taken(self, job: Job, indexed: IndexedJob) -> None:
        spec = indexed.spec
        self._runtime.events.write(
            "job_taken",
            job=job.id,
            pool=self._runtime.pool,
            queue=spec.queue,
            offset=indexed.offset,
            workspace=spec.workspace,
            is_beyond_share=indexed.is_beyond_share,
            config_version=spec.config_version,
            done_count=sum(task.is_done for task in job.tasks.values()),
        )
