"""Placement of waiting tasks: which ones, in which order, and its cost in a full pool."""

from unittest.mock import patch

from testtools import TestCase

from robinthread._internal.jobs import scheduling
from robinthread._internal.jobs.host import HostContact
from robinthread._internal.jobs.placement import sort_waiting
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.scheduling import place_waiting
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.settings.policy_settings import PlacementPolicy

HOST_CAPACITY = Resources(4000, 4000, 0)
POLICY = QueuePolicy("queue", "", "", "pool", stretch=1.0, latency_target_ms=1000)


def make_pool(host_count: int, policy: PlacementPolicy | None = None) -> PoolJobs:
    """Make a pool of hosts that respond."""
    pool = PoolJobs(policy or PlacementPolicy())
    for number in range(host_count):
        record = UpstreamHost(
            f"h{number}", f"m{number}", "", "", "", "r", HOST_CAPACITY, frozenset()
        )
        pool.add_host(record).contact = HostContact.ANSWERING
    return pool


def add_job(pool: PoolJobs, number: int, *steps: StepSpec, accepted_at_ms: int = 1_000) -> None:
    """Add a job whose first tasks wait for hosts."""
    spec = JobSpec(f"{number:016x}", "queue", "pool", "", steps, accepted_at_ms=accepted_at_ms)
    pool.queue_due_tasks(pool.add_job(spec, POLICY, number, 0.0), 1_000)


class PlaceWaitingTest(TestCase):
    def test_smaller_tasks_are_placed_on_a_host_that_is_too_small_for_a_larger_one(self) -> None:
        pool = make_pool(1)
        add_job(pool, 1, StepSpec(1, cpu_millicores=5000, estimate_ms=1000))
        add_job(pool, 2, StepSpec(3, cpu_millicores=1000, estimate_ms=1000))
        self.assertEqual(3, place_waiting(pool, 0.0, 1_000))

    def test_no_resource_of_a_host_is_exceeded(self) -> None:
        pool = make_pool(2)
        add_job(pool, 1, StepSpec(9, cpu_millicores=100, memory_mb=1000, estimate_ms=1000))
        self.assertEqual(8, place_waiting(pool, 0.0, 1_000))
        self.assertEqual({0}, {host.free.memory_mb for host in pool.hosts.values()})

    def test_host_with_the_smallest_shortage_is_reserved_for_a_lasting_task(self) -> None:
        pool = make_pool(2)
        add_job(pool, 1, StepSpec(8, cpu_millicores=1000, estimate_ms=1000))
        self.assertEqual(8, place_waiting(pool, 0.0, 1_000))
        add_job(pool, 2, StepSpec(1, cpu_millicores=3000, is_lasting=True))
        add_job(pool, 3, StepSpec(8, cpu_millicores=1000, estimate_ms=1000))
        lasting = next(task for task in pool.waiting.values() if task.step.is_lasting)
        for host_id in ("h1", "h0", "h1", "h1"):
            run = next(iter(pool.hosts[host_id].runs.values()))
            pool.end_run(run, RunEnd.DONE, "", 1_000)
            place_waiting(pool, 0.0, 1_000)
        self.assertEqual(["h1"], [run.host_id for run in lasting.runs])
        self.assertEqual(0, pool.hosts["h0"].free.cpu_millicores)

    def test_no_host_is_reserved_if_switched_off_or_too_small(self) -> None:
        for policy, millicores in (
            (PlacementPolicy(keeps_room_for_lasting=False), 3000),
            (PlacementPolicy(), 5000),
        ):
            pool = make_pool(1, policy)
            add_job(pool, 1, StepSpec(3, cpu_millicores=1000, estimate_ms=1000))
            place_waiting(pool, 0.0, 1_000)
            add_job(pool, 2, StepSpec(1, cpu_millicores=millicores, is_lasting=True))
            add_job(pool, 3, StepSpec(1, cpu_millicores=1000, estimate_ms=1000))
            self.assertEqual(1, place_waiting(pool, 0.0, 1_000))

    def test_full_pool_evaluates_no_hosts(self) -> None:
        pool = make_pool(10)
        for number in range(100):
            add_job(pool, number, StepSpec(10, cpu_millicores=1000, estimate_ms=1000))
        place_waiting(pool, 0.0, 1_000)
        self.assertEqual(960, len(pool.waiting))
        with patch.object(scheduling, "choose_host", wraps=scheduling.choose_host) as choose:
            self.assertEqual(0, place_waiting(pool, 0.0, 1_000))
        self.assertEqual(0, choose.call_count)

    def test_evaluations_grow_with_placed_tasks_and_not_with_waiting_ones(self) -> None:
        pool = make_pool(10)
        for number in range(100):
            add_job(pool, number, StepSpec(10, cpu_millicores=1000, estimate_ms=1000))
        with patch.object(scheduling, "choose_host", wraps=scheduling.choose_host) as choose:
            placed = place_waiting(pool, 0.0, 1_000)
        self.assertEqual(40, placed)
        # One for each host and started job; the other tasks go to the same host.
        self.assertLessEqual(choose.call_count, 10 + 4)


class SlackMarginTest(TestCase):
    """Two jobs of 1 s that may take 2 s: one has 0.1 s of slack left, the other 0.5 s."""

    def sort(self, margin_s: float) -> list[str]:
        pool = make_pool(0, PlacementPolicy(slack_margin_s=margin_s))
        step = StepSpec(1, cpu_millicores=1000, estimate_ms=1000)
        add_job(pool, 1, step, accepted_at_ms=100)
        add_job(pool, 2, step, accepted_at_ms=500)
        return [task.key.job_id[-1] for task in sort_waiting(pool, 1_000)]

    def test_least_slack_comes_first(self) -> None:
        self.assertEqual(["1", "2"], self.sort(0.0))

    def test_slack_below_the_margin_comes_last(self) -> None:
        self.assertEqual(["2", "1"], self.sort(0.2))
