"""Stops of runs that an earlier owner recorded."""

import math

from testtools import TestCase

from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.progress import decode_progress, encode_progress
from robinthread._internal.jobs.run import RunPhase
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost
from tests.lib.job_platforms import QUEUE, make_job

HOST_CAPACITY = Resources(16_000, 32_000, 0)
GANG = StepSpec(2, cpu_millicores=1000, memory_mb=100, is_gang=True)


class ResumedStopTest(TestCase):
    def setUp(self) -> None:
        """Place a gang as one owner, and restore its job as the next one."""
        super().setUp()
        spec = make_job(1, GANG)
        before = PoolJobs()
        before.add_host(
            UpstreamHost("i-1", "m-1", "press", "m-1:80", "", "", HOST_CAPACITY, frozenset())
        )
        job = before.add_job(spec, QUEUE, 0, 0.0)
        before.queue_due_tasks(job, 0)
        for task in list(before.waiting.values()):
            before.place(task, before.hosts["i-1"], 1)
        self.after = PoolJobs()
        resumed = self.after.add_job(spec, QUEUE, 0, 5.0, decode_progress(encode_progress(job)))
        self.first, self.second = (run for task in resumed.iter_running() for run in task.runs)

    def test_run_that_is_to_stop_is_there_until_its_end_is_known(self) -> None:
        self.after.stop(self.first)
        self.assertEqual(RunPhase.STOPPING, self.first.phase)
        self.assertEqual(math.inf, self.first.settled_at_s)

    def test_other_members_of_a_gang_are_there_until_their_ends_are_known(self) -> None:
        self.after.end_run(self.first, RunEnd.FAILED, "", 5_000)
        self.assertEqual([self.second], self.after.to_stop)
        self.assertEqual(math.inf, self.second.settled_at_s)
