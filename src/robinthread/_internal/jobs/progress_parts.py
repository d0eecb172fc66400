"""Progress of jobs with many tasks, in parts that each fit in one record of the store.

Only the parts with changed tasks are written again, so what a job writes over its life grows in
proportion to its tasks.  Tasks that are done take no row of their own.
"""

from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.occurrence_set import get_ranges
from robinthread._internal.jobs.part_key import PartKey
from robinthread._internal.jobs.progress import (
    JobProgress,
    TaskProgress,
    check_hosts,
    list_hosts,
    make_task_progress,
)
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.utils.foreign_input import (
    Number,
    decode_msgpack,
    reads_foreign_input,
)

# Number of consecutive tasks of an occurrence that share a part.  Its rows take some 4 KB.
PART_TASKS: Final = 256


class DoneRange(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive tasks of a step that are done and have no run."""

    step: Number
    first_index: Number
    count: Number


class ProgressPart(msgspec.Struct, frozen=True, array_like=True):
    """The progress of up to ``PART_TASKS`` consecutive tasks of an occurrence of a job.

    ``hosts`` and ``host_start_times_ms`` are as in ``JobProgress``.
    """

    occurrence: Number
    number: Number
    hosts: tuple[str, ...] = ()
    tasks: tuple[TaskProgress, ...] = ()
    host_start_times_ms: tuple[int | None, ...] = ()
    done: tuple[DoneRange, ...] = ()


def get_part_key(job: Job, task: TaskKey) -> PartKey:
    """Return the key of the part that has a task."""
    return PartKey(task.occurrence, job.get_task_number(task) // PART_TASKS)


def encode_part(job: Job, key: PartKey, keeps_checkpoints: bool = True) -> bytes:
    """Encode a part of a job's progress."""
    first = key.number * PART_TASKS
    started = [
        task
        for task in job.iter_tasks_between(key.occurrence, first, first + PART_TASKS)
        if task.last_run
    ]
    hosts: dict[str, int] = {}
    rows = tuple(
        make_task_progress(task, hosts, keeps_checkpoints)
        for task in started
        if not _needs_no_row(task)
    )
    host_ids, host_start_times_ms = list_hosts(hosts)
    part = ProgressPart(
        key.occurrence,
        key.number,
        host_ids,
        rows,
        host_start_times_ms,
        _list_done(filter(_needs_no_row, started)),
    )
    return msgspec.msgpack.encode(part)


@reads_foreign_input
def decode_part(key: PartKey, value: bytes) -> ProgressPart:
    """Decode a part; raise ``MalformedInputError`` if it is malformed."""
    part = decode_msgpack(value, ProgressPart)
    if (part.occurrence, part.number) != (key.occurrence, key.number):
        raise msgspec.ValidationError(f"part {part.occurrence}/{part.number} has the key {key}")
    check_hosts(part.hosts, part.host_start_times_ms, part.tasks)
    if any(min(done.step, done.first_index) < 0 for done in part.done):
        raise msgspec.ValidationError("a negative number of a done task")
    if any(done.count < 0 for done in part.done):
        raise msgspec.ValidationError("a negative count of done tasks")
    if sum(done.count for done in part.done) > PART_TASKS:
        raise msgspec.ValidationError(f"more than {PART_TASKS} done tasks in a part")
    return part


def merge_parts(
    job_id: str, head: JobProgress | None, parts: Sequence[ProgressPart]
) -> JobProgress:
    """Return a job's progress with the rows of all its parts.

    ``head`` is the record of the job itself, None if only parts are recorded yet.  If the job was
    not split when that was written, its rows are older than those of the parts.
    """
    head = head or JobProgress(job_id, "", JobStatus.QUEUED.value, is_split=True)
    hosts, start_times_ms = list(head.hosts), _pad(head.hosts, head.host_start_times_ms)
    rows = {(row.occurrence, row.step, row.index): row for row in head.tasks}
    for part in parts:
        first_host = len(hosts)
        hosts += part.hosts
        start_times_ms += _pad(part.hosts, part.host_start_times_ms)
        for row in (*_list_done_rows(part), *part.tasks):
            rows[row.occurrence, row.step, row.index] = _shift_hosts(row, first_host)
    return msgspec.structs.replace(
        head,
        hosts=tuple(hosts),
        tasks=tuple(rows.values()),
        host_start_times_ms=tuple(start_times_ms),
    )


def restore_parts(job: Job, progress: JobProgress) -> None:
    """Restore from merged progress which parts of a job are recorded.

    These include parts of retired occurrences whose records were not dropped yet.
    """
    if progress.is_split:
        job.recorded_parts = {
            get_part_key(job, TaskKey(job.id, row.occurrence, row.step, row.index))
            for row in progress.tasks
            if 0 <= row.step < len(job.spec.steps)
        }


def _needs_no_row(task: Task) -> bool:
    return task.is_done and not task.runs and not task.crashes


def _list_done(tasks: Iterable[Task]) -> tuple[DoneRange, ...]:
    indexes: dict[int, list[int]] = {}
    for task in tasks:
        indexes.setdefault(task.key.step, []).append(task.key.index)
    return tuple(
        DoneRange(step, first, count)
        for step, found in indexes.items()
        for first, count in get_ranges(found)
    )


def _list_done_rows(part: ProgressPart) -> list[TaskProgress]:
    """Return rows of the done tasks; how often these were started is not recorded."""
    return [
        TaskProgress(part.occurrence, done.step, index, is_done=True, last_run=1)
        for done in part.done
        for index in range(done.first_index, done.first_index + done.count)
    ]


def _shift_hosts(row: TaskProgress, offset: int) -> TaskProgress:
    if not row.runs or not offset:
        return row
    runs = tuple(msgspec.structs.replace(run, host=run.host + offset) for run in row.runs)
    return msgspec.structs.replace(row, runs=runs)


def _pad(hosts: Sequence[str], start_times_ms: Sequence[int | None]) -> list[int | None]:
    return [*start_times_ms, *(None for _ in range(len(hosts) - len(start_times_ms)))]
