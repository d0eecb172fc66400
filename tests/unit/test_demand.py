"""The demand of a pool for late jobs."""

from testtools import TestCase

from robinthread._internal.jobs.demand import DemandForecaster
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.settings.policy_settings import DemandPolicy

POLICY = QueuePolicy("queue", "", "", "pool", stretch=1.5, latency_target_ms=500)
STEP = StepSpec(4, cpu_millicores=1000, estimate_ms=1000)
LEAD_S = 1.8


def forecast_cores(policy: DemandPolicy, waited_ms: int) -> float:
    """Return the cores to fetch hosts for while one job has waited for ``waited_ms``."""
    jobs = PoolJobs()
    spec = JobSpec("0" * 16, "queue", "pool", "", (STEP,), accepted_at_ms=1_000)
    job = jobs.add_job(spec, POLICY, 0, 0.0)
    jobs.queue_due_tasks(job, 1_000)
    demand = DemandForecaster(LEAD_S, policy).forecast(jobs, 0.0, 1_000 + waited_ms)
    return demand.fetch.cpu_millicores / 1000


class LateJobsTest(TestCase):
    def test_job_on_time_counts_in_full(self) -> None:
        self.assertEqual(2.0, forecast_cores(DemandPolicy(late_share=0.25), 0))

    def test_late_job_counts_with_the_late_share(self) -> None:
        self.assertEqual(0.5, forecast_cores(DemandPolicy(late_share=0.25), 5_000))
        self.assertEqual(2.0, forecast_cores(DemandPolicy(late_share=1.0), 5_000))
