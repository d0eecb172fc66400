"""A host that is reserved for a lasting task gets no other tasks."""

from testtools import TestCase

from robinthread._internal.jobs.host import HostContact
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.scheduling import place_waiting
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost
from tests.lib.job_platforms import QUEUE, make_job

HOST_CAPACITY = Resources(16_000, 32_000, 0)
ENDING = StepSpec(1, cpu_millicores=10_000)
LASTING = StepSpec(1, cpu_millicores=12_000, is_lasting=True)
GANG = StepSpec(2, cpu_millicores=2_000, is_gang=True)
PLAIN = StepSpec(2, cpu_millicores=2_000)


class ReservedHostTest(TestCase):
    def setUp(self) -> None:
        """Make a pool whose only host is too full for a lasting task until another task ends."""
        super().setUp()
        self.pool = PoolJobs()
        record = UpstreamHost("h0", "m0", "press", "", "", "", HOST_CAPACITY, frozenset())
        self.pool.add_host(record).contact = HostContact.ANSWERING
        self.ending = self._add(ENDING)
        self.lasting = self._add(LASTING)

    def _add(self, step: StepSpec) -> Job:
        """Add a job and place the waiting tasks that fit."""
        job = self.pool.add_job(make_job(len(self.pool.jobs), step), QUEUE, 0, 0.0)
        self.pool.queue_due_tasks(job, 0)
        place_waiting(self.pool, 0.0, 0)
        return job

    def _check(self, step: StepSpec) -> None:
        job = self._add(step)
        self.assertEqual(["h0"], list(self.pool.reserved_host_ids.values()))
        self.assertEqual([], list(job.iter_running()))
        (task,) = self.ending.iter_running()
        self.pool.end_run(task.runs[0], RunEnd.DONE, "", 0)
        self.assertEqual(3, place_waiting(self.pool, 0.0, 0))
        self.assertEqual(1, len(list(self.lasting.iter_running())))

    def test_gang_is_not_placed_on_a_reserved_host(self) -> None:
        self._check(GANG)

    def test_other_tasks_are_not_placed_on_a_reserved_host(self) -> None:
        self._check(PLAIN)
