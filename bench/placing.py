"""Number of capacity checks per task start and per report of a pool's demand."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from bench.result import BenchResult
from robinthread._internal.jobs.demand import DemandForecaster
from robinthread._internal.jobs.host import HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.scheduling import place_waiting
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.settings.policy_settings import DemandPolicy

SIZES: Final = (10, 100, 1000)
HOST_CAPACITY: Final = Resources(16_000, 32_000, 0)
STEP: Final = StepSpec(10, cpu_millicores=1000, memory_mb=1000, estimate_ms=1000)
# A host that runs one of these has too little free capacity for a ``WIDE`` task.
LASTING: Final = StepSpec(100, cpu_millicores=6000, is_lasting=True, per_host_max=1)
WIDE: Final = StepSpec(10, cpu_millicores=13_000, memory_mb=1000, estimate_ms=1000)


def run_placing() -> BenchResult:
    """Count capacity checks in pools with free capacity, then in full pools."""
    counts: dict[str, float] = {}
    for waiting in SIZES:
        counts[f"looks_a_start_100_hosts_{waiting}_waiting"] = _count_a_start(100, waiting)
    for hosts in SIZES:
        counts[f"looks_a_start_{hosts}_hosts_100_waiting"] = _count_a_start(hosts, 100)
    counts["looks_in_a_full_pool_100_hosts_1000_waiting"] = _count_in_full_pool(100, 1000)
    for waiting in SIZES:
        counts[f"looks_a_report_100_hosts_{waiting}_wide"] = _count_a_report(100, waiting, WIDE)
    counts["looks_a_report_100_hosts_1000_that_fit"] = _count_a_report(100, 1000, STEP)
    return BenchResult("placing", counts)


def _count_a_start(hosts: int, waiting: int) -> float:
    pool = _make_pool(hosts)
    _add_jobs(pool, waiting)
    with _count_capacity_checks() as looks:
        placed = place_waiting(pool, 0.0, 0)
    return round(sum(looks) / placed, 2)


def _count_in_full_pool(hosts: int, waiting: int) -> float:
    pool = _make_pool(hosts)
    _add_jobs(pool, hosts * HOST_CAPACITY.cpu_millicores // STEP.cpu_millicores)
    place_waiting(pool, 0.0, 0)
    _add_jobs(pool, waiting)
    with _count_capacity_checks() as looks:
        assert place_waiting(pool, 0.0, 0) == 0
    return sum(looks)


def _count_a_report(hosts: int, waiting: int, step: StepSpec) -> float:
    pool = _make_pool(hosts)
    _add_jobs(pool, LASTING.task_count, LASTING)
    place_waiting(pool, 0.0, 0)
    _add_jobs(pool, waiting, step)
    with _count_capacity_checks() as looks:
        DemandForecaster(1.8, DemandPolicy()).forecast(pool, 0.0, 0)
    return sum(looks)


def _make_pool(hosts: int) -> PoolJobs:
    pool = PoolJobs()
    for number in range(hosts):
        record = UpstreamHost(
            f"h{number}", f"m{number}", "", "", "", "r", HOST_CAPACITY, frozenset()
        )
        pool.add_host(record).contact = HostContact.ANSWERING
    return pool


def _add_jobs(pool: PoolJobs, task_count: int, step: StepSpec = STEP) -> None:
    policy = QueuePolicy("queue", "", "", "pool", 0, 3, 1.6, 600)
    first = len(pool.jobs)
    for number in range(first, first + task_count // step.task_count):
        spec = JobSpec(f"{number:016x}", "queue", "pool", "", (step,))
        pool.queue_due_tasks(pool.add_job(spec, policy, number, 0.0), 0)


@contextmanager
def _count_capacity_checks() -> Iterator[list[int]]:
    """Collect one entry per call of ``Resources.fits_in`` within the ``with`` block."""
    looks: list[int] = []
    compare = Resources.fits_in

    def counted(self: Resources, capacity: Resources) -> bool:
        looks.append(1)
        return compare(self, capacity)

    Resources.fits_in = counted  # type: ignore[method-assign]
    try:
        yield looks
    finally:
        Resources.fits_in = compare  # type: ignore[method-assign]
