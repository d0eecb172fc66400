"""The records of a job's progress that its latest changes require."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from robinthread._internal.durable.record_limits import RecordLimits, find_excess
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.part_key import PartKey
from robinthread._internal.jobs.progress import encode_progress, encode_split_job
from robinthread._internal.jobs.progress_parts import PART_TASKS, encode_part, get_part_key
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.job_status import JobStatus

# Encodes a record, with or without the checkpoints of its tasks.
Encode = Callable[[bool], bytes]


@dataclass(frozen=True)
class JobChanges:
    """Changes of a job that are being recorded.

    Once ``records`` are stored, ``runs`` may be sent and ``status`` may be shown.  ``tasks`` are
    those whose state the records contain.
    """

    job: Job
    status: JobStatus
    tasks: tuple[Task, ...]
    runs: tuple[Run, ...]
    records: tuple[KeyedRecord, ...]


def take_changes(job: Job, may_split: bool, limits: RecordLimits) -> JobChanges:
    """Return the changes of a job since the last call, and the records for them.

    A job with more tasks than one part holds is split from its first record on if ``may_split``.
    One that an earlier owner recorded whole is then written anew, in parts.
    """
    changed = tuple(job.changed.values())
    job.changed.clear()
    runs = tuple(run for task in changed for run in task.runs if run.phase is RunPhase.RECORDING)
    if may_split and not job.is_split and _needs_parts(job):
        job.is_split = True
        changed = tuple(task for task in job.tasks.values() if task.last_run)
    if job.is_split:
        records = _make_split_records(job, changed, limits)
    else:
        records = [_make_record(job.id, lambda keeps: encode_progress(job, keeps), limits)]
    return JobChanges(job, job.status, changed, runs, tuple(records))


def restore_changes(changes: JobChanges) -> None:
    """Make changes that could not be recorded part of the job's next ones."""
    changes.job.changed.update((task.key, task) for task in changes.tasks)


def drop_parts(job: Job, keys: Collection[PartKey]) -> list[KeyedRecord]:
    """Return the records that drop some parts of a job."""
    dropped = [KeyedRecord(key.format(job.id), None) for key in sorted(keys)]
    job.recorded_parts.difference_update(tuple(keys))
    return dropped


def _needs_parts(job: Job) -> bool:
    return job.occurrence_task_count * job.occurrence_count > PART_TASKS


def _make_split_records(
    job: Job, changed: Collection[Task], limits: RecordLimits
) -> list[KeyedRecord]:
    """Return the changed parts, then the job's own record, then those of parts to be dropped.

    The job's own record may replace one that has the rows of all tasks, and tells which
    occurrences need no parts any more.
    """
    if job.status.is_final and not any(job.iter_running()):
        head = KeyedRecord(job.id, encode_split_job(job))
        return [head, *drop_parts(job, job.recorded_parts)]
    retired = job.retire({task.key.occurrence for task in changed})
    keys = {
        get_part_key(job, task.key)
        for task in changed
        if task.last_run and task.key.occurrence not in job.retired
    }
    parts = [_make_part_record(job, key, limits) for key in sorted(keys)]
    job.recorded_parts |= keys
    head = KeyedRecord(job.id, encode_split_job(job))
    unneeded = {key for key in job.recorded_parts if key.occurrence in retired}
    return [*parts, head, *drop_parts(job, unneeded)]


def _make_part_record(job: Job, key: PartKey, limits: RecordLimits) -> KeyedRecord:
    return _make_record(
        key.format(job.id),
        lambda keeps_checkpoints: encode_part(job, key, keeps_checkpoints),
        limits,
    )


def _make_record(key: str, encode: Encode, limits: RecordLimits) -> KeyedRecord:
    """Make a record, without checkpoints if these are too large: their tasks can do without."""
    record = KeyedRecord(key, encode(True))
    return KeyedRecord(key, encode(False)) if find_excess(record, limits) else record
