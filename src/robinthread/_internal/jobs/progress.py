"""Encoding of a job's progress in the store."""

import itertools
import math
from dataclasses import astuple
from typing import Final

import msgspec

from robinthread._internal.jobs.crashes import Crash
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.run import Run
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.host_incarnation import make_incarnation_id, split_incarnation_id
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.task_key import TaskKey

STATUS_VALUES: Final = frozenset(status.value for status in JobStatus)


class RunProgress(msgspec.Struct, frozen=True, array_like=True):
    """A run that may still be going on; ``host`` is an index into the record's hosts.

    ``is_alone`` is recorded for the next owner: if the host has crashed, a run that was alone on
    it is the cause.
    """

    number: int
    host: int
    is_alone: bool = False


class CrashProgress(msgspec.Struct, frozen=True, array_like=True):
    """A host crash during a run of a task; see ``Crash``."""

    host_id: str
    machine: str
    run: int
    age_ms: int
    is_near_start: bool
    is_confirmed: bool
    has_other_cause: bool


class TaskProgress(msgspec.Struct, frozen=True, array_like=True):
    """A task that has been started at least once."""

    occurrence: int
    step: int
    index: int
    is_done: bool
    last_run: int
    failure_count: int = 0
    runs: tuple[RunProgress, ...] = ()
    checkpoint: str = ""
    last_failed_run: int = 0
    crashes: tuple[CrashProgress, ...] = ()


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """The progress of a job that the pool's next owner needs.

    An ended job has no tasks once its runs are over; ``ended_at_ms`` is a Unix time.  ``hosts``
    are ids, and ``host_start_times_ms`` identifies the incarnation of each; processes of older
    versions read only the ids.
    """

    job_id: str
    queue: str
    status: str
    hosts: tuple[str, ...] = ()
    tasks: tuple[TaskProgress, ...] = ()
    ended_at_ms: int = 0
    host_start_times_ms: tuple[int | None, ...] = ()

    def list_incarnations(self) -> tuple[str, ...]:
        """Return the ids of the hosts' incarnations."""
        pairs = itertools.zip_longest(self.hosts, self.host_start_times_ms)
        return tuple(
            make_incarnation_id(host_id, host_started_at_ms)
            for host_id, host_started_at_ms in pairs
        )


def encode_progress(job: Job) -> bytes:
    """Encode the progress of a job."""
    hosts: dict[str, int] = {}
    tasks: tuple[TaskProgress, ...] = ()
    if not job.status.is_final or any(job.iter_running()):
        started = (task for task in job.tasks.values() if task.last_run)
        tasks = tuple(_make_task_progress(task, hosts) for task in started)
    incarnations = [split_incarnation_id(incarnation_id) for incarnation_id in hosts]
    host_start_times_ms = tuple(host_started_at_ms for _host_id, host_started_at_ms in incarnations)
    progress = JobProgress(
        job.id,
        job.spec.queue,
        job.status.value,
        tuple(host_id for host_id, _host_started_at_ms in incarnations),
        tasks,
        job.ended_at_ms,
        host_start_times_ms
        if any(host_started_at_ms is not None for host_started_at_ms in host_start_times_ms)
        else (),
    )
    return msgspec.msgpack.encode(progress)


def decode_progress(value: bytes) -> JobProgress:
    """Decode the progress of a job; raise ``msgspec.MsgspecError`` if it is malformed."""
    progress = msgspec.msgpack.decode(value, type=JobProgress)
    if progress.status not in STATUS_VALUES:
        raise msgspec.ValidationError(f"unknown job status {progress.status!r}")
    if len(progress.host_start_times_ms) > len(progress.hosts):
        raise msgspec.ValidationError(
            f"{len(progress.host_start_times_ms)} host start times for {len(progress.hosts)} hosts"
        )
    host_indexes = (run.host for task in progress.tasks for run in task.runs)
    if any(not 0 <= host < len(progress.hosts) for host in host_indexes):
        raise msgspec.ValidationError(
            f"a run has a host index outside the list of {len(progress.hosts)} hosts"
        )
    return progress


def restore_progress(job: Job, progress: JobProgress) -> None:
    """Restore a job from its recorded progress."""
    job.status = job.recorded_status = JobStatus(progress.status)
    job.ended_at_ms = progress.ended_at_ms
    job.has_begun = any(row.last_run for row in progress.tasks)
    incarnations = progress.list_incarnations()
    for row in progress.tasks:
        key = TaskKey(job.id, row.occurrence, row.step, row.index)
        if job.has_task(key):
            _restore_task(job, job.get_task(key), row, incarnations)


def _make_task_progress(task: Task, hosts: dict[str, int]) -> TaskProgress:
    runs = tuple(
        RunProgress(run.number, hosts.setdefault(run.host_id, len(hosts)), run.is_alone)
        for run in task.runs
    )
    key = task.key
    return TaskProgress(
        key.occurrence,
        key.step,
        key.index,
        task.is_done,
        task.last_run,
        task.failure_count,
        runs,
        "" if task.is_done else task.checkpoint,
        task.last_failed_run,
        tuple(CrashProgress(*astuple(crash)) for crash in task.crashes),
    )


def _restore_task(job: Job, task: Task, row: TaskProgress, hosts: tuple[str, ...]) -> None:
    task.last_run = row.last_run
    # When it last ran is not recorded.  Assuming a long wait does not extend any bound.
    task.ran_until_s = -math.inf
    task.failure_count = row.failure_count
    task.last_failed_run = row.last_failed_run
    task.checkpoint = row.checkpoint
    task.crashes = tuple(Crash(*msgspec.structs.astuple(crash)) for crash in row.crashes)
    for recorded in row.runs:
        host_id = hosts[recorded.host]
        run = Run(task.key, recorded.number, host_id, row.checkpoint, task.step.is_lasting)
        run.is_alone = recorded.is_alone
        task.runs.append(run)
    if row.is_done:
        job.set_done(task)
