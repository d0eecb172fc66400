"""What a rejected start, and a confirmed one, say about its host and its task."""

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.host_errors import (
    HostError,
    HostGoneError,
    RunTooOldError,
    StartTooLateError,
)
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.run import Run
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.start_ages import make_age_fields


def record_rejection(run: Run, host: Host, job: Job, error: HostError, is_first: bool) -> None:
    """Pause a rejected start's task and, if the fault seems to be the host's, the host.

    Nothing is paused if the run may have ended there, which is certain only of one whose first
    start (``is_first``) is rejected.
    """
    if isinstance(error, RunTooOldError) and not is_first:
        return
    is_of_host = isinstance(error, (HostGoneError, StartTooLateError))
    host.health.record_rejection(job.id, is_of_host, get_loop_s())
    if task := job.tasks.get(run.task):
        task.failed_host_ids.add(host.id)
        job.get_crash_task(task).record_rejection(get_loop_s())


def record_started(runtime: PoolRuntime, run: Run, host: Host, job: Job) -> None:
    """Record and log a start that its host has confirmed."""
    runtime.jobs.confirm_start(run, get_loop_s())
    host.health.record_start()
    if task := job.tasks.get(run.task):
        job.get_crash_task(task).rejections = None
    since_accepted_ms = runtime.context.get_wall_ms() - job.spec.accepted_at_ms
    runtime.events.metrics.record_run_start(runtime.pool, since_accepted_ms / 1000)
    runtime.events.write(
        "run_started",
        job=job.id,
        task=run.task.position,
        run=run.number,
        host=host.id,
        pool=runtime.pool,
        token=runtime.token,
        since_accepted_ms=since_accepted_ms,
        **make_age_fields(runtime, run),
    )
    runtime.log_first_start(run)
