"""Which runs are stopped on hosts that drain or are being vacated."""

from testtools import TestCase

from robinthread._internal.jobs.evacuation import evacuate
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import RunPhase
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost

HOST_CAPACITY = Resources(16_000, 32_000, 0)
LASTING = StepSpec(
    6,
    cpu_millicores=1000,
    is_lasting=True,
    per_host_max=2,
    not_running_max=1,
    has_not_running_limit=True,
)


def make_pool(step: StepSpec, hosts: int, used_hosts: int) -> PoolJobs:
    """Make a pool with a job whose tasks are spread over the first ``used_hosts`` hosts."""
    pool = PoolJobs()
    for number in range(hosts):
        record = UpstreamHost(
            f"h{number}", f"m{number}", "", "", "", "r", HOST_CAPACITY, frozenset()
        )
        pool.add_host(record).contact = HostContact.ANSWERING
    spec = JobSpec("0" * 16, "queue", "pool", "", (step,))
    job = pool.add_job(spec, QueuePolicy("queue", "", "", "pool"), 0, 0.0)
    for index, task in enumerate(job.get_tasks(0, 0)):
        run = pool.place(task, pool.hosts[f"h{index % used_hosts}"])
        run.phase = RunPhase.PRESENT
        run.progress_percent = 100 if step.is_lasting else 50
    return pool


def drain(host: Host, leaves_in_ms: int, now_s: float) -> None:
    record = host.record
    host.record = UpstreamHost(
        record.id, record.machine, "", "", "", "r", HOST_CAPACITY, frozenset(), True, leaves_in_ms
    )
    host.record_draining(2.0, now_s)


class LastingTasksTest(TestCase):
    def test_tasks_are_stopped_one_after_the_other(self) -> None:
        pool = make_pool(LASTING, hosts=4, used_hosts=3)
        pool.hosts["h0"].vacating_until_s = 10.0
        self.assertEqual(1, len(evacuate(pool, now_s=1.0)))
        self.assertEqual(0, len(evacuate(pool, now_s=1.1)))

    def test_tasks_on_a_silent_host_count_as_not_running(self) -> None:
        pool = make_pool(LASTING, hosts=4, used_hosts=3)
        pool.hosts["h0"].vacating_until_s = 10.0
        pool.hosts["h1"].contact = HostContact.SILENT
        self.assertEqual([], evacuate(pool, now_s=1.0))

    def test_tasks_that_an_earlier_owner_may_have_stopped_count_as_not_running(self) -> None:
        pool = make_pool(LASTING, hosts=4, used_hosts=3)
        pool.hosts["h0"].vacating_until_s = 10.0
        pool.hosts["h1"].foreign_stops_over_at_s = 2.0
        self.assertEqual([], evacuate(pool, now_s=1.9))
        self.assertEqual(1, len(evacuate(pool, now_s=2.0)))


class LastingOnDrainingHostTest(TestCase):
    """One task of a step may be not running; a stopped task counts until its run has ended."""

    STEP = StepSpec(
        2, cpu_millicores=1000, is_lasting=True, not_running_max=1, has_not_running_limit=True
    )

    def test_task_stays_on_its_host_while_another_leaves_a_draining_host(self) -> None:
        for draining, vacating in (("h0", "h1"), ("h1", "h0")):
            pool = make_pool(self.STEP, hosts=4, used_hosts=2)
            drain(pool.hosts[draining], 4_000, now_s=0.0)
            pool.hosts[vacating].vacating_until_s = 10.0
            self.assertEqual([draining], [run.host_id for run in evacuate(pool, now_s=1.0)])
            self.assertEqual([], evacuate(pool, now_s=1.1))

    def test_task_leaves_a_draining_host_after_another_has_ended(self) -> None:
        pool = make_pool(self.STEP, hosts=4, used_hosts=2)
        pool.hosts["h0"].vacating_until_s = 10.0
        (run,) = evacuate(pool, now_s=1.0)
        drain(pool.hosts["h1"], 4_000, now_s=1.1)
        self.assertEqual([], evacuate(pool, now_s=1.2))
        pool.end_run(run, RunEnd.STOPPED, "", 0)
        self.assertEqual(["h1"], [left.host_id for left in evacuate(pool, now_s=1.3)])

    def test_task_is_stopped_before_its_host_may_leave(self) -> None:
        pool = make_pool(self.STEP, hosts=4, used_hosts=2)
        pool.hosts["h0"].vacating_until_s = 10.0
        evacuate(pool, now_s=1.0)
        drain(pool.hosts["h1"], 4_000, now_s=1.1)
        self.assertEqual(["h1"], [run.host_id for run in evacuate(pool, now_s=4.5)])


class DrainingTest(TestCase):
    STEP = StepSpec(2, cpu_millicores=1000, estimate_ms=10_000, keeps_checkpoints=True)

    def test_task_that_would_not_end_in_time_is_stopped_late_with_its_checkpoint(self) -> None:
        pool = make_pool(self.STEP, hosts=2, used_hosts=1)
        drain(pool.hosts["h0"], 4_000, now_s=0.0)
        self.assertEqual([], evacuate(pool, now_s=2.0))
        self.assertEqual(2, len(evacuate(pool, now_s=3.5)))

    def test_task_about_to_end_is_not_stopped(self) -> None:
        pool = make_pool(self.STEP, hosts=2, used_hosts=1)
        drain(pool.hosts["h0"], 4_000, now_s=0.0)
        for run in pool.hosts["h0"].runs.values():
            run.progress_percent = 99
        self.assertEqual([], evacuate(pool, now_s=3.5))

    def test_task_is_not_stopped_if_no_other_host_has_capacity(self) -> None:
        pool = make_pool(self.STEP, hosts=1, used_hosts=1)
        drain(pool.hosts["h0"], 4_000, now_s=0.0)
        self.assertEqual([], evacuate(pool, now_s=3.5))

    def test_task_without_checkpoints_is_not_stopped(self) -> None:
        step = StepSpec(2, cpu_millicores=1000, estimate_ms=10_000)
        pool = make_pool(step, hosts=2, used_hosts=1)
        drain(pool.hosts["h0"], 4_000, now_s=0.0)
        self.assertEqual([], evacuate(pool, now_s=3.5))
