"""Measure the cost of the job engine per job, task start and task end.

Run with ``python -m bench.job_slopes``.  Times vary by about 10% between machines;
docs/CAPACITY.md quotes them.
"""

import time
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import msgspec

from robinthread._internal.durable.inbox_records import make_job_record
from robinthread._internal.jobs.demand import DemandForecaster
from robinthread._internal.jobs.host import HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.progress import encode_progress
from robinthread._internal.jobs.run import RunPhase
from robinthread._internal.jobs.scheduling import place_waiting
from robinthread._internal.jobs.stragglers import find_stragglers
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.settings.policy_settings import DemandPolicy

HOST_CAPACITY: Final = Resources(16_000, 32_000, 0)
TASKS_PER_JOB: Final = 10
# Hosts of a pool, and jobs that arrive while one round of tasks runs.  22 hosts is the mean
# pool size of the target fleet (3,200 hosts, 144 pools).
SIZES: Final = ((8, 12), (22, 35), (100, 160))
US: Final = 1e6


def main() -> None:
    """Measure and print the table."""
    for host_count, job_count in SIZES:
        print(f"--- {host_count} hosts, {job_count} jobs of {TASKS_PER_JOB} tasks")
        _measure(host_count, job_count)


def _measure(host_count: int, job_count: int) -> None:
    pool = PoolJobs()
    for number in range(host_count):
        record = UpstreamHost(
            f"h{number}", f"m{number}", "", "", "", "r", HOST_CAPACITY, frozenset()
        )
        pool.add_host(record).contact = HostContact.ANSWERING
    specs = [_make_spec(number) for number in range(job_count)]
    task_count = job_count * TASKS_PER_JOB
    policy = QueuePolicy("queue", "", "", "pool", 0, 3, 1.6, 600)
    tracemalloc.start()
    with _timed("take a job in", job_count):
        for number, spec in enumerate(specs):
            job = pool.add_job(spec, policy, number, 0.0)
            pool.queue_due_tasks(job, 0)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    with _timed("place a task", task_count):
        placed = place_waiting(pool, 0.0, 0)
    with _timed("read a pool's demand", 1):
        DemandForecaster(1.8, DemandPolicy()).forecast(pool, 0.5, 0)
    with _timed("look for stragglers", 1):
        find_stragglers(pool)
    with _timed("encode a job's progress", job_count):
        progress = [encode_progress(job) for job in pool.jobs.values()]
    runs = [run for host in pool.hosts.values() for run in host.runs.values()]
    for run in runs:
        run.phase = RunPhase.PRESENT
        run.present_since_s = 0.0
    with _timed("take an end in", len(runs)):
        for run in runs:
            pool.end_run(run, RunEnd.DONE, "", 0, 1.0)
    record_bytes = len(make_job_record(specs[0], "00000000.1").value or b"")
    _print("tasks placed", placed, "")
    _print("memory a task", memory_bytes / task_count, "bytes")
    _print("a job's record in the inbox", record_bytes, "bytes")
    _print("a running job's progress", sum(map(len, progress)) / job_count, "bytes")


def _make_spec(number: int) -> JobSpec:
    steps = (
        StepSpec(TASKS_PER_JOB - 4, cpu_millicores=1000, memory_mb=1000, estimate_ms=1000),
        StepSpec(4, cpu_millicores=1000, memory_mb=1000, estimate_ms=1000, after_steps=(0,)),
    )
    return msgspec.structs.replace(
        JobSpec(f"{number:016x}", "queue", "pool", "x" * 500, steps), accepted_at_ms=1
    )


@contextmanager
def _timed(label: str, count: int) -> Iterator[None]:
    began_at_s = time.process_time()
    yield
    _print(label, (time.process_time() - began_at_s) / count * US, "us")


def _print(label: str, value: float, unit: str) -> None:
    print(f"{label:32s}{value:12.1f} {unit}")


if __name__ == "__main__":
    main()
