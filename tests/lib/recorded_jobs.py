"""Jobs of a pool whose progress is recorded and restored, without a node."""

import msgspec

from robinthread._internal.durable.record_limits import RecordLimits
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.part_key import is_part_key, parse_part_key
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.progress import JobProgress, decode_progress
from robinthread._internal.jobs.progress_parts import decode_part, merge_parts
from robinthread._internal.jobs.run import RunPhase
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.node.progress_changes import JobChanges, take_changes
from tests.lib.job_platforms import HOST_CAPACITY, POOL, QUEUE, make_job

LIMITS = RecordLimits(262_144, 2_097_152)
SMALL = StepSpec(1, cpu_millicores=10, memory_mb=10)
HOST_IDS = ("i-1", "i-2")


def make_wide_job(task_count: int, occurrence_count: int = 0) -> JobSpec:
    """Make a job of two steps; the second one has a single task."""
    steps = (
        msgspec.structs.replace(SMALL, task_count=task_count),
        msgspec.structs.replace(SMALL, after_steps=(0,)),
    )
    spec = make_job(1, *steps)
    return msgspec.structs.replace(spec, occurrence_count=occurrence_count, interval_ms=1000)


def make_pool(spec: JobSpec, progress: JobProgress | None = None) -> tuple[PoolJobs, Job]:
    """Make a pool of two hosts and a job."""
    pool = PoolJobs()
    for host_id in HOST_IDS:
        record = UpstreamHost(host_id, host_id, POOL, host_id, "", "r0", HOST_CAPACITY, frozenset())
        pool.add_host(record)
    return pool, pool.add_job(spec, QUEUE, 0, 0.0, progress)


class Recorded:
    """The records of a job, as the store keeps them."""

    def __init__(self, job_id: str = make_job(1).job_id) -> None:
        self._job_id = job_id
        self.values: dict[str, bytes] = {}

    def store(self, records: tuple[KeyedRecord, ...]) -> None:
        """Store records; those without a value drop their key."""
        for record in records:
            if record.value is None:
                self.values.pop(record.key, None)
            else:
                self.values[record.key] = record.value

    def load(self) -> JobProgress:
        """Return the job's progress as the next owner loads it."""
        parts, head = [], None
        for key, value in sorted(self.values.items()):
            if is_part_key(key):
                parts.append(decode_part(parse_part_key(key)[1], value))
            else:
                head = decode_progress(value)
        return merge_parts(self._job_id, head, parts)


def start(pool: PoolJobs, job: Job, indexes: range, occurrence: int = 0, step: int = 0) -> None:
    """Start tasks, spread over the hosts."""
    for index in indexes:
        host = pool.hosts[HOST_IDS[index % len(HOST_IDS)]]
        pool.place(job.get_task(TaskKey(job.id, occurrence, step, index)), host)


def finish(pool: PoolJobs, job: Job, indexes: range, occurrence: int = 0, step: int = 0) -> None:
    """End the runs of tasks as done."""
    for index in indexes:
        task = job.get_task(TaskKey(job.id, occurrence, step, index))
        for run in list(task.runs):
            run.phase = RunPhase.PRESENT
            pool.end_run(run, RunEnd.DONE, "", 1)


def record(job: Job, recorded: Recorded, may_split: bool = True) -> JobChanges:
    """Record the latest changes of a job."""
    changes = take_changes(job, may_split, LIMITS)
    recorded.store(changes.records)
    return changes
