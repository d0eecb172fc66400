"""Choice of the hosts for a gang."""

from testtools import TestCase

from robinthread._internal.jobs.gangs import choose_gang_hosts
from robinthread._internal.jobs.host import HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost

HOST_CAPACITY = Resources(16_000, 32_000, 0)


def choose(step: StepSpec, host_count: int = 4) -> list[str] | None:
    """Return the racks of the hosts chosen for a gang; the hosts alternate between two racks."""
    pool = PoolJobs()
    for number in range(host_count):
        rack = f"r{number % 2}"
        record = UpstreamHost(f"h{number}", "", "", "", "", rack, HOST_CAPACITY, frozenset({rack}))
        pool.add_host(record).contact = HostContact.ANSWERING
    spec = JobSpec("0" * 16, "queue", "pool", "", (step,))
    job = pool.add_job(spec, QueuePolicy("queue", "", "", "pool"), 0, 0.0)
    hosts = choose_gang_hosts(pool, job, job.get_tasks(0, 0), pool.hosts.values(), now_s=0.0)
    return None if hosts is None else [host.record.rack for host in hosts]


class GangPlacementTest(TestCase):
    def test_one_rack_is_used_if_it_has_the_capacity(self) -> None:
        step = StepSpec(4, cpu_millicores=6000, is_gang=True, wants_one_rack=True)
        self.assertEqual(["r0"] * 4, choose(step))

    def test_rack_with_the_data_is_preferred(self) -> None:
        step = StepSpec(4, cpu_millicores=6000, is_gang=True, wants_one_rack=True, near_rack="r1")
        self.assertEqual(["r1"] * 4, choose(step))

    def test_several_racks_are_used_if_none_has_the_capacity(self) -> None:
        step = StepSpec(6, cpu_millicores=6000, is_gang=True, wants_one_rack=True)
        racks = choose(step)
        assert racks is not None
        self.assertEqual({"r0", "r1"}, set(racks))

    def test_gang_gets_no_hosts_unless_all_members_fit(self) -> None:
        self.assertIsNone(choose(StepSpec(9, cpu_millicores=6000, is_gang=True)))

    def test_limit_of_tasks_per_host_is_respected(self) -> None:
        step = StepSpec(4, cpu_millicores=1000, is_gang=True, per_host_max=1)
        racks = choose(step)
        assert racks is not None
        self.assertEqual(["r0", "r0", "r1", "r1"], sorted(racks))
        self.assertIsNone(choose(step, host_count=3))

    def test_required_label_is_respected(self) -> None:
        step = StepSpec(4, cpu_millicores=6000, is_gang=True, required_label="r1")
        self.assertEqual(["r1"] * 4, choose(step))
