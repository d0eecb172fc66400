"""Encoding of a job's progress in the store."""

import itertools
import math
from collections.abc import Iterable, Sequence
from dataclasses import astuple
from typing import Final

import msgspec

from robinthread._internal.jobs.crashes import Crash
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.run import Run
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.host_incarnation import make_incarnation_id, split_incarnation_id
from robinthread._internal.models.job_policy import StoredPolicy
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.utils.foreign_input import (
    Number,
    decode_msgpack,
    reads_foreign_input,
    shorten,
)

STATUS_VALUES: Final = frozenset(status.value for status in JobStatus)


class RunProgress(msgspec.Struct, frozen=True, array_like=True):
    """A run that may still be going on; ``host`` is an index into the record's hosts.

    The rest is recorded for the next owner.  ``is_alone``: if the host has crashed, a run that was
    alone on it is the cause.  ``placed_at_unix_ms`` and ``is_regular``: see ``Run``.
    """

    number: Number
    host: Number
    is_alone: bool = False
    placed_at_unix_ms: Number = 0
    is_regular: bool = False


class CrashProgress(msgspec.Struct, frozen=True, array_like=True):
    """A host crash during a run of a task; see ``Crash``."""

    host_id: str
    machine: str
    run: Number
    age_ms: Number
    is_near_start: bool
    is_confirmed: bool
    has_other_cause: bool


class TaskProgress(msgspec.Struct, frozen=True, array_like=True):
    """A task that has been started at least once."""

    occurrence: Number
    step: Number
    index: Number
    is_done: bool
    last_run: Number
    failure_count: Number = 0
    runs: tuple[RunProgress, ...] = ()
    checkpoint: str = ""
    last_failed_run: Number = 0
    crashes: tuple[CrashProgress, ...] = ()


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """The progress of a job that the pool's next owner needs.

    An ended job has no tasks once its runs are over; ``ended_at_ms`` is a Unix time.  ``hosts``
    are ids, and ``host_start_times_ms`` identifies the incarnation of each; processes of older
    versions read only the ids.  ``done_occurrences`` are ranges of occurrences whose tasks are all
    done and have no rows, each a first number and a length.  The rows of a job that ``is_split``
    are in records of their own, see ``ProgressPart``.  ``last_policy`` is the policy that applied
    last, None if that is the one stored with the job.
    """

    job_id: str
    queue: str
    status: str
    hosts: tuple[str, ...] = ()
    tasks: tuple[TaskProgress, ...] = ()
    ended_at_ms: Number = 0
    host_start_times_ms: tuple[int | None, ...] = ()
    done_occurrences: tuple[tuple[Number, Number], ...] = ()
    is_split: bool = False
    last_policy: StoredPolicy | None = None

    def list_incarnations(self) -> tuple[str, ...]:
        """Return the ids of the hosts' incarnations."""
        return list_incarnations(self.hosts, self.host_start_times_ms)


def list_incarnations(
    hosts: Sequence[str], host_start_times_ms: Sequence[int | None]
) -> tuple[str, ...]:
    """Return the ids of incarnations, given hosts' ids and the start times that are known."""
    pairs = itertools.zip_longest(hosts, host_start_times_ms)
    return tuple(
        make_incarnation_id(host_id, host_started_at_ms) for host_id, host_started_at_ms in pairs
    )


def encode_progress(job: Job, keeps_checkpoints: bool = True) -> bytes:
    """Encode the progress of a job that is not split, with all tasks that were started."""
    hosts: dict[str, int] = {}
    tasks: tuple[TaskProgress, ...] = ()
    if not job.status.is_final or any(job.iter_running()):
        started = (task for task in job.tasks.values() if task.last_run)
        tasks = tuple(make_task_progress(task, hosts, keeps_checkpoints) for task in started)
    host_ids, host_start_times_ms = list_hosts(hosts)
    progress = JobProgress(
        job.id,
        job.spec.queue,
        job.status.value,
        host_ids,
        tasks,
        job.ended_at_ms,
        host_start_times_ms,
        last_policy=job.last_policy,
    )
    return msgspec.msgpack.encode(progress)


def encode_split_job(job: Job) -> bytes:
    """Encode the progress of a job whose tasks are recorded in parts."""
    progress = JobProgress(
        job.id,
        job.spec.queue,
        job.status.value,
        ended_at_ms=job.ended_at_ms,
        done_occurrences=() if job.status.is_final else job.retired.list_ranges(),
        is_split=True,
        last_policy=job.last_policy,
    )
    return msgspec.msgpack.encode(progress)


def list_hosts(incarnation_ids: Iterable[str]) -> tuple[tuple[str, ...], tuple[int | None, ...]]:
    """Return hosts' ids and start times by incarnation; no times if none is known."""
    pairs = [split_incarnation_id(incarnation_id) for incarnation_id in incarnation_ids]
    host_ids = tuple(host_id for host_id, _host_started_at_ms in pairs)
    start_times_ms = tuple(host_started_at_ms for _host_id, host_started_at_ms in pairs)
    is_any_known = any(start_time_ms is not None for start_time_ms in start_times_ms)
    return host_ids, start_times_ms if is_any_known else ()


@reads_foreign_input
def decode_progress(value: bytes) -> JobProgress:
    """Decode the progress of a job; raise ``MalformedInputError`` if it is malformed."""
    progress = decode_msgpack(value, JobProgress)
    if progress.status not in STATUS_VALUES:
        raise msgspec.ValidationError(f"unknown job status {shorten(progress.status)!r}")
    check_hosts(progress.hosts, progress.host_start_times_ms, progress.tasks)
    if any(first < 0 or count < 1 for first, count in progress.done_occurrences):
        raise msgspec.ValidationError(
            f"malformed ranges: {shorten(str(progress.done_occurrences))}"
        )
    return progress


def check_hosts(
    hosts: Sequence[str],
    host_start_times_ms: Sequence[int | None],
    tasks: Iterable[TaskProgress],
) -> None:
    """Raise ``msgspec.ValidationError`` if start times or runs have no host."""
    if len(host_start_times_ms) > len(hosts):
        raise msgspec.ValidationError(
            f"{len(host_start_times_ms)} host start times for {len(hosts)} hosts"
        )
    host_indexes = (run.host for task in tasks for run in task.runs)
    if any(not 0 <= host < len(hosts) for host in host_indexes):
        raise msgspec.ValidationError(
            f"a run has a host index outside the list of {len(hosts)} hosts"
        )


def restore_progress(job: Job, progress: JobProgress) -> None:
    """Restore a job from its recorded progress."""
    job.status = job.recorded_status = JobStatus(progress.status)
    job.ended_at_ms = progress.ended_at_ms
    job.has_begun = bool(progress.done_occurrences) or any(row.last_run for row in progress.tasks)
    job.is_split = progress.is_split
    job.restore_retired(
        (first, min(count, job.occurrence_count - first))
        for first, count in progress.done_occurrences
    )
    incarnations = progress.list_incarnations()
    for row in progress.tasks:
        key = TaskKey(job.id, row.occurrence, row.step, row.index)
        if job.has_task(key):
            job.open(key.occurrence)
            _restore_task(job, job.get_task(key), row, incarnations)


def make_task_progress(
    task: Task, hosts: dict[str, int], keeps_checkpoint: bool = True
) -> TaskProgress:
    """Return the row of a task; hosts that are not in ``hosts`` yet are added."""
    runs = tuple(
        RunProgress(
            run.number,
            hosts.setdefault(run.host_id, len(hosts)),
            run.is_alone,
            run.placed_at_unix_ms,
            run.is_regular,
        )
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
        task.checkpoint if keeps_checkpoint and not task.is_done else "",
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
        run.placed_at_unix_ms = recorded.placed_at_unix_ms
        run.is_regular = recorded.is_regular
        task.runs.append(run)
    if row.is_done:
        job.set_done(task)
