"""Lasting tasks that have not run for long, in a pool that urgent queues fill.

Without reservations, the urgent tasks use all capacity that becomes free, and a lasting task
does not start again as long as they wait.
"""

from testtools import TestCase

from robinthread._internal.jobs.capacity_reservation import OVERDUE_S
from robinthread._internal.jobs.host import HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.progress import decode_progress, encode_progress
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.scheduling import place_waiting
from robinthread._internal.jobs.task import Task
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost

HOST_CAPACITY = Resources(4000, 4000, 0)
URGENT = QueuePolicy("urgent", "", "", "pool", 0)
LESS = QueuePolicy("less", "", "", "pool", 1)
SMALL = StepSpec(4, cpu_millicores=1000, estimate_ms=1000)
LARGE = StepSpec(1, cpu_millicores=3000, is_lasting=True)
GANG = StepSpec(2, cpu_millicores=3000, is_lasting=True, is_gang=True)
# The time at which the lasting tasks were last reported to run.
HEARD_AT_S = 100.0
OVERDUE_AT_S = HEARD_AT_S + OVERDUE_S
LASTING_ID = f"{1:016x}"


def make_pool(host_count: int) -> PoolJobs:
    """Make a pool of hosts that respond."""
    pool = PoolJobs()
    for number in range(host_count):
        record = UpstreamHost(
            f"h{number}", f"m{number}", "", "", "", "r", HOST_CAPACITY, frozenset()
        )
        pool.add_host(record).contact = HostContact.ANSWERING
    return pool


def add_job(pool: PoolJobs, number: int, policy: QueuePolicy, step: StepSpec) -> list[Task]:
    """Add a job whose tasks wait for hosts; return the tasks."""
    spec = JobSpec(f"{number:016x}", policy.name, "pool", "", (step,))
    job = pool.add_job(spec, policy, number, 0.0)
    pool.queue_due_tasks(job, 1_000)
    return job.get_tasks(0, 0)


def place_fitting(pool: PoolJobs, now_s: float) -> int:
    """Place the waiting tasks that fit; return how many."""
    return place_waiting(pool, now_s, 1_000)


def start_tasks(pool: PoolJobs, tasks: list[Task]) -> list[Run]:
    """Place lasting tasks and confirm the starts of their runs; return the runs."""
    place_fitting(pool, 0.0)
    runs = [task.runs[0] for task in tasks]
    for run in runs:
        run.phase = RunPhase.SENDING
        pool.confirm_start(run, 1.0)
    return runs


def lose_runs(pool: PoolJobs, tasks: list[Task]) -> None:
    """Start lasting tasks and end their runs, each 1 s after the previous one."""
    runs = start_tasks(pool, tasks)
    for late_s, run in enumerate(runs):
        pool.hosts[run.host_id].reported_at_s = HEARD_AT_S + late_s
        pool.end_run(run, RunEnd.LAPSED, "", 1_000)


def fill_with_urgent(pool: PoolJobs) -> None:
    """Fill the pool with urgent tasks; as many more wait."""
    for number in range(2 * len(pool.hosts)):
        add_job(pool, 100 + number, URGENT, SMALL)
    placed = place_fitting(pool, HEARD_AT_S)
    assert placed == 4 * len(pool.hosts)


def end_one_task_on_each_host(pool: PoolJobs) -> None:
    """End one task on each host."""
    for host in pool.hosts.values():
        run = next(run for run in host.runs.values() if not run.is_lasting)
        pool.end_run(run, RunEnd.DONE, "", 1_000)


class OverdueLastingTest(TestCase):
    def test_host_is_reserved_ahead_of_urgent_tasks_once_a_task_is_overdue(self) -> None:
        pool = make_pool(1)
        (lasting,) = add_job(pool, 1, LESS, LARGE)
        lose_runs(pool, [lasting])
        fill_with_urgent(pool)
        end_one_task_on_each_host(pool)
        self.assertEqual(1, place_fitting(pool, OVERDUE_AT_S - 0.01))
        for _ in range(2):
            end_one_task_on_each_host(pool)
            self.assertEqual(0, place_fitting(pool, OVERDUE_AT_S))
        end_one_task_on_each_host(pool)
        self.assertEqual(1, place_fitting(pool, OVERDUE_AT_S))
        self.assertEqual(1, len(lasting.runs))

    def test_task_that_never_ran_is_placed_in_the_usual_order(self) -> None:
        pool = make_pool(1)
        fill_with_urgent(pool)
        add_job(pool, 1, LESS, LARGE)
        end_one_task_on_each_host(pool)
        self.assertEqual(1, place_fitting(pool, 10 * OVERDUE_AT_S))

    def test_start_that_was_never_sent_does_not_count_as_a_run(self) -> None:
        pool = make_pool(1)
        (lasting,) = add_job(pool, 1, LESS, LARGE)
        place_fitting(pool, 0.0)
        pool.forget_run(lasting.runs[0])
        fill_with_urgent(pool)
        end_one_task_on_each_host(pool)
        self.assertEqual(1, place_fitting(pool, 10 * OVERDUE_AT_S))

    def test_unconfirmed_run_does_not_restart_the_wait(self) -> None:
        pool = make_pool(1)
        (lasting,) = add_job(pool, 1, LESS, LARGE)
        lose_runs(pool, [lasting])
        place_fitting(pool, HEARD_AT_S)
        pool.hosts["h0"].reported_at_s = OVERDUE_AT_S
        pool.end_run(lasting.runs[0], RunEnd.LAPSED, "", 1_000)
        self.assertEqual(HEARD_AT_S, lasting.ran_until_s)

    def test_least_recently_run_tasks_come_first_and_leave_half_of_the_hosts(self) -> None:
        pool = make_pool(4)
        tasks = [add_job(pool, number, LESS, LARGE)[0] for number in (1, 2, 3, 4)]
        lose_runs(pool, tasks)
        fill_with_urgent(pool)
        end_one_task_on_each_host(pool)
        self.assertEqual(2, place_fitting(pool, OVERDUE_AT_S + 10))
        self.assertEqual({task.key for task in tasks[:2]}, pool.reserved_host_ids.keys())

    def test_task_that_fits_nowhere_does_not_block_another(self) -> None:
        pool = make_pool(2)
        wide, other = (add_job(pool, number, LESS, LARGE)[0] for number in (1, 2))
        lose_runs(pool, [wide, other])
        wide.resources = Resources(5000)
        fill_with_urgent(pool)
        end_one_task_on_each_host(pool)
        self.assertEqual(1, place_fitting(pool, OVERDUE_AT_S + 10))
        self.assertEqual({other.key}, pool.reserved_host_ids.keys())

    def test_next_owner_treats_a_task_without_a_run_as_overdue(self) -> None:
        before = make_pool(1)
        (lasting,) = add_job(before, 1, LESS, LARGE)
        lose_runs(before, [lasting])
        job = before.jobs[LASTING_ID]
        progress = decode_progress(encode_progress(job))
        pool = make_pool(1)
        fill_with_urgent(pool)
        pool.queue_due_tasks(pool.add_job(job.spec, LESS, 1, 0.0, progress), 1_000)
        end_one_task_on_each_host(pool)
        self.assertEqual(0, place_fitting(pool, HEARD_AT_S))
        self.assertEqual({lasting.key}, pool.reserved_host_ids.keys())

    def test_overdue_gang_reserves_a_host_for_each_member(self) -> None:
        pool = make_pool(3)
        gang = add_job(pool, 1, LESS, GANG)
        lose_runs(pool, gang)
        fill_with_urgent(pool)
        end_one_task_on_each_host(pool)
        self.assertEqual(3, place_fitting(pool, OVERDUE_AT_S - 0.01))
        for _ in range(2):
            end_one_task_on_each_host(pool)
            self.assertEqual(1, place_fitting(pool, OVERDUE_AT_S + 1))
            self.assertEqual({task.key for task in gang}, pool.reserved_host_ids.keys())
        end_one_task_on_each_host(pool)
        self.assertEqual(3, place_fitting(pool, OVERDUE_AT_S + 1))
        self.assertEqual([1, 1], [len(task.runs) for task in gang])

    def test_no_host_is_reserved_for_a_gang_that_never_ran(self) -> None:
        pool = make_pool(2)
        fill_with_urgent(pool)
        add_job(pool, 1, LESS, GANG)
        end_one_task_on_each_host(pool)
        self.assertEqual(2, place_fitting(pool, 10 * OVERDUE_AT_S))

    def test_no_host_is_reserved_for_a_gang_with_a_run_left(self) -> None:
        pool = make_pool(2)
        gang = add_job(pool, 1, LESS, GANG)
        first, _second = start_tasks(pool, gang)
        pool.end_run(first, RunEnd.LAPSED, "", 1_000)
        for number in range(4):
            add_job(pool, 100 + number, URGENT, SMALL)
        self.assertEqual(5, place_fitting(pool, HEARD_AT_S))
        end_one_task_on_each_host(pool)
        self.assertEqual(2, place_fitting(pool, 10 * OVERDUE_AT_S))
        self.assertEqual({}, pool.reserved_host_ids)
