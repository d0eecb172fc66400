"""Pacing of leftover-filling tasks beside serving tasks on the same host."""

from testtools import TestCase

from robinthread._internal.jobs.host import HostContact
from robinthread._internal.jobs.pacing import choose_paces
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost

SERVING = StepSpec(1, cpu_millicores=1000, is_lasting=True, latency_target_ms=100)
FILLING = StepSpec(1, cpu_millicores=4000, fills_leftover=True)


class PacingTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = PoolJobs()
        room = Resources(4000, 1000, 0)
        self.host = self.pool.add_host(UpstreamHost("h", "m", "", "", "", "r", room, frozenset()))
        self.host.contact = HostContact.ANSWERING
        self.serving = self.place("0" * 16, SERVING)
        self.filling = self.place("1" * 16, FILLING)

    def place(self, job_id: str, step: StepSpec) -> Run:
        spec = JobSpec(job_id, "queue", "pool", "", (step,))
        job = self.pool.add_job(spec, QueuePolicy("queue", "", "", "pool"), 0, 0.0)
        run = self.pool.place(job.get_tasks(0, 0)[0], self.host)
        run.phase = RunPhase.PRESENT
        return run

    def step(self, tail_ms: int, now_s: float) -> int:
        self.serving.recent_load = tail_ms
        for change in choose_paces(self.pool, now_s):
            change.run.pace_percent = change.percent
            change.run.paced_at_s = now_s
        return self.filling.pace_percent

    def test_leftover_task_reserves_no_capacity(self) -> None:
        self.assertEqual(3000, self.host.free.cpu_millicores)

    def test_leftover_task_stops_within_two_seconds_of_high_latency(self) -> None:
        self.assertEqual([40, 16, 0], [self.step(150, now_s) for now_s in (1.0, 1.5, 2.0)])

    def test_pace_recovers_slowly_and_holds_at_medium_pressure(self) -> None:
        self.filling.pace_percent = 0
        self.assertEqual([10, 20, 20], [self.step(*at) for at in ((50, 1.0), (50, 1.5), (70, 2))])

    def test_pace_changes_at_most_once_per_period(self) -> None:
        self.assertEqual([40, 40], [self.step(150, now_s) for now_s in (1.0, 1.2)])

    def test_serving_task_is_not_slowed_down(self) -> None:
        self.step(150, 1.0)
        self.assertEqual(100, self.serving.pace_percent)
