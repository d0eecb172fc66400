"""The hosts that waiting tasks need, and the hosts that a pool lacks for them."""

from testtools import TestCase

from robinthread._internal.jobs.demand import Demand, DemandForecaster
from robinthread._internal.jobs.host import HostContact
from robinthread._internal.jobs.host_requirements import HostRequirements, MissingHosts
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.scheduling import place_waiting
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.settings.policy_settings import DemandPolicy

HOST_CAPACITY = Resources(16_000, 32_000, 0)
POLICY = QueuePolicy("queue", "", "", "pool", stretch=1.5, latency_target_ms=500)
# Each host with such a task has 10 of its 16 cores left.
LASTING = StepSpec(3, cpu_millicores=6_000, memory_mb=1_000, is_lasting=True, per_host_max=1)
WIDE = StepSpec(4, cpu_millicores=13_000, memory_mb=1_000, estimate_ms=1_000)


def make_pool(hosts: int = 3) -> PoolJobs:
    """Make a pool of hosts that alternate between racks r0 and r1."""
    pool = PoolJobs()
    for number in range(hosts):
        rack = f"r{number % 2}"
        record = UpstreamHost(
            f"h{number}", f"m{number}", "pool", "", "", rack, HOST_CAPACITY, frozenset({rack})
        )
        pool.add_host(record).contact = HostContact.ANSWERING
    return pool


def add_job(pool: PoolJobs, *steps: StepSpec, accepted_at_ms: int = 0) -> None:
    """Add a job and place the waiting tasks that fit."""
    number = len(pool.jobs)
    spec = JobSpec(f"{number:016x}", "queue", "pool", "", steps, accepted_at_ms=accepted_at_ms)
    pool.queue_due_tasks(pool.add_job(spec, POLICY, number, 0.0), 0)
    place_waiting(pool, 0.0, 0)


def forecast(pool: PoolJobs) -> Demand:
    """Return the pool's current demand."""
    return DemandForecaster(1.8, DemandPolicy()).forecast(pool, 0.0, 0)


def vacate(pool: PoolJobs, host_id: str) -> None:
    """Mark a host as being vacated."""
    pool.hosts[host_id].vacating_until_s = 10.0


class FittingTasksTest(TestCase):
    def test_no_host_is_needed_without_waiting_tasks(self) -> None:
        pool = make_pool()
        add_job(pool, LASTING)
        self.assertEqual(HostRequirements(), forecast(pool).host_requirements)

    def test_tasks_that_fit_on_every_host_need_no_particular_host(self) -> None:
        pool = make_pool()
        add_job(pool, LASTING)
        add_job(pool, StepSpec(400, cpu_millicores=10_000, estimate_ms=1_000))
        self.assertEqual(397, len(pool.waiting))
        self.assertEqual(HostRequirements(), forecast(pool).host_requirements)

    def test_copies_need_no_host(self) -> None:
        pool = make_pool(1)
        add_job(pool, StepSpec(1, cpu_millicores=1_000, allows_copies=True, per_host_max=1))
        (task,) = next(iter(pool.jobs.values())).tasks.values()
        pool.request_copy(task)
        self.assertEqual(1, len(pool.waiting))
        self.assertEqual(HostRequirements(), forecast(pool).host_requirements)


class WideTaskTest(TestCase):
    def test_hosts_are_missing_for_tasks_that_fit_beside_no_lasting_task(self) -> None:
        pool = make_pool()
        add_job(pool, LASTING)
        add_job(pool, WIDE)
        # Four tasks of 1 s should start within 2 s, so two should run in parallel.
        missing = MissingHosts(2, Resources(13_000, 1_000), "", False)
        self.assertEqual(HostRequirements(missing=(missing,)), forecast(pool).host_requirements)

    def test_late_job_needs_at_least_one_host(self) -> None:
        pool = make_pool()
        add_job(pool, LASTING)
        add_job(pool, WIDE, accepted_at_ms=-60_000)
        (missing,) = forecast(pool).host_requirements.missing
        self.assertEqual(1, missing.count)

    def test_host_that_is_full_with_tasks_that_end_counts(self) -> None:
        pool = make_pool(4)
        add_job(pool, LASTING)
        add_job(pool, WIDE)
        (bare,) = (host for host in pool.hosts.values() if not host.lasting_count)
        self.assertEqual(1, len(bare.runs))
        # Three tasks wait, of which 1.5 should run in parallel.
        missing = MissingHosts(1, Resources(13_000, 1_000), "", False)
        self.assertEqual(
            HostRequirements(frozenset({bare.id}), 1, (missing,)), forecast(pool).host_requirements
        )

    def test_vacating_host_is_needed_only_if_no_other_fits(self) -> None:
        pool = make_pool(5)
        add_job(pool, LASTING)
        bare = sorted(host.id for host in pool.hosts.values() if not host.lasting_count)
        for host_id in bare:
            vacate(pool, host_id)
        add_job(pool, StepSpec(1, cpu_millicores=13_000, estimate_ms=1_000))
        requirements = forecast(pool).host_requirements
        self.assertEqual(1, len(requirements.host_ids & set(bare)))
        self.assertEqual((), requirements.missing)
        pool.hosts[bare[0]].vacating_until_s = 0.0
        self.assertEqual(frozenset({bare[0]}), forecast(pool).host_requirements.host_ids)

    def test_each_lasting_task_uses_its_own_resources(self) -> None:
        pool = make_pool()
        add_job(pool, LASTING)
        wide = StepSpec(3, cpu_millicores=1_000, memory_mb=20_000, is_lasting=True)
        add_job(pool, wide, wide, wide)
        # Three of the nine tasks fit beside the others; each of the rest needs a host.
        (missing,) = forecast(pool).host_requirements.missing
        self.assertEqual(6, missing.count)

    def test_gang_needs_all_its_hosts_at_once(self) -> None:
        pool = make_pool()
        add_job(pool, LASTING)
        add_job(pool, StepSpec(4, cpu_millicores=13_000, estimate_ms=500, is_gang=True))
        (missing,) = forecast(pool).host_requirements.missing
        self.assertEqual(4, missing.count)


class RestrictedTasksTest(TestCase):
    def test_host_at_its_limit_of_tasks_does_not_count(self) -> None:
        pool = make_pool(2)
        add_job(
            pool, StepSpec(3, cpu_millicores=1_000, memory_mb=1, is_lasting=True, per_host_max=1)
        )
        self.assertEqual(
            (MissingHosts(1, Resources(1_000, 1), "", True),),
            forecast(pool).host_requirements.missing,
        )

    def test_host_without_the_label_does_not_count(self) -> None:
        pool = make_pool(2)
        lasting = StepSpec(1, cpu_millicores=10_000, is_lasting=True, required_label="r1")
        add_job(pool, lasting)
        add_job(pool, StepSpec(1, cpu_millicores=8_000, required_label="r1"))
        self.assertEqual(
            (MissingHosts(1, Resources(8_000), "r1", False),),
            forecast(pool).host_requirements.missing,
        )
        self.assertEqual(frozenset(), forecast(pool).host_requirements.host_ids)

    def test_host_that_has_the_label_is_needed(self) -> None:
        pool = make_pool(2)
        add_job(pool, StepSpec(20, cpu_millicores=16_000, required_label="r1", estimate_ms=1_000))
        self.assertEqual(frozenset({"h1"}), forecast(pool).host_requirements.host_ids)


class AwaitedHostTest(TestCase):
    """One of three hosts has not responded to its owner yet but is expected to.

    In one of the tests each host runs a lasting task.
    """

    def _forecast(self, wide: StepSpec, leaves_runs: bool) -> Demand:
        pool = make_pool()
        if leaves_runs:
            add_job(pool, LASTING)
        host = pool.hosts["h2"]
        host.contact, host.awaited_until_s = HostContact.NOT_CONTACTED, 1.0
        add_job(pool, wide)
        return forecast(pool)

    def test_it_counts_with_its_capacity(self) -> None:
        step = StepSpec(3, cpu_millicores=13_000, memory_mb=1_000, is_lasting=True, per_host_max=1)
        requirements = self._forecast(step, leaves_runs=False).host_requirements
        self.assertEqual(((), {"h2"}), (requirements.missing, requirements.host_ids))

    def test_it_does_not_count_with_resources_of_its_lasting_tasks(self) -> None:
        step = StepSpec(1, cpu_millicores=13_000, memory_mb=1_000, is_lasting=True)
        (missing,) = self._forecast(step, leaves_runs=True).host_requirements.missing
        self.assertEqual(MissingHosts(1, step.resources, "", True), missing)
