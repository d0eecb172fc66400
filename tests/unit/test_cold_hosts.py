"""Placement on cold hosts, and that a host is not taken for faulty because it is cold."""

from testtools import TestCase

from robinthread._internal.jobs import placement
from robinthread._internal.jobs.cold_hosts import make_start_limit, may_start, set_start_limit
from robinthread._internal.jobs.cold_state import UNKNOWN_LIMIT, ColdStartLimit
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import RunPhase
from robinthread._internal.jobs.scheduling import place_waiting
from robinthread._internal.jobs.stalls import STALL_S, stop_stalled
from robinthread._internal.jobs.stragglers import move_stragglers
from robinthread._internal.jobs.unresponsive_hosts import (
    COLD_UNRESPONSIVE_AFTER_S,
    UNRESPONSIVE_AFTER_S,
    list_unresponsive,
)
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost

POLICY = QueuePolicy("queue", "", "", "pool", stretch=1.0, latency_target_ms=1000)
STEP = StepSpec(4, cpu_millicores=1000, estimate_ms=1000)
COLD_UNTIL_S = 100.0
NOW_S = 10.0


def make_pool(cold: str, warm: str = "", racks: str = "") -> PoolJobs:
    """Make a pool of hosts of four cores that respond; each letter names a host."""
    pool = PoolJobs()
    for number, name in enumerate(sorted(cold + warm)):
        rack = racks[number] if racks else "r"
        record = UpstreamHost(
            name, f"m{name}", "", "", "", rack, Resources(4000, 4000, 0), frozenset()
        )
        host = pool.add_host(record)
        host.contact, host.reported_at_s = HostContact.ANSWERING, NOW_S
        host.cold.has_uncounted_starts = False
        if name in cold:
            host.cold.until_s = COLD_UNTIL_S
    return pool


def add_job(pool: PoolJobs, step: StepSpec, number: int = 1) -> None:
    spec = JobSpec(f"{number:016x}", "queue", "pool", "", (step,), accepted_at_ms=1_000)
    pool.queue_due_tasks(pool.add_job(spec, POLICY, number, 0.0), 1_000)


def place(pool: PoolJobs, step: StepSpec, now_s: float = NOW_S, number: int = 1) -> str:
    """Place a job of one step; return the names of its hosts, one for each run."""
    add_job(pool, step, number)
    place_waiting(pool, now_s, 1_000)
    return list_hosts(pool, number)


def list_hosts(pool: PoolJobs, number: int = 1) -> str:
    tasks = pool.jobs[f"{number:016x}"].tasks.values()
    return "".join(sorted(run.host_id for task in tasks for run in task.runs))


def set_present(host: Host, since_s: float, percent: int) -> None:
    for run in host.runs.values():
        run.phase, run.present_since_s = RunPhase.PRESENT, since_s
        run.progress_percent, run.progress_at_s = percent, since_s


class PlacementTest(TestCase):
    def test_choice_of_a_host_without_a_limit_counts_no_starts(self) -> None:
        """Guards the pass over all hosts, which is the largest cost of a placement."""
        counted: list[Host] = []

        def count(pool: PoolJobs, host: Host, now_s: float) -> bool:
            counted.append(host)
            return may_start(pool, host, now_s)

        self.patch(placement, "may_start", count)
        pool = make_pool("ab")
        place(pool, StepSpec(2, cpu_millicores=1000))
        self.assertEqual(0, len(counted))
        set_start_limit(pool, ColdStartLimit(1.0, 5.0), NOW_S)
        place(pool, StepSpec(2, cpu_millicores=1000), number=2)
        self.assertGreater(len(counted), 0)

    def test_warm_hosts_are_filled_before_cold_ones(self) -> None:
        self.assertEqual("bbbb", place(make_pool("a", "b"), STEP))
        step = StepSpec(6, cpu_millicores=1000)
        self.assertEqual("aabbbb", place(make_pool("a", "b"), step))

    def test_fuller_cold_host_is_not_preferred_to_an_empty_warm_one(self) -> None:
        pool = make_pool("a")
        place(pool, StepSpec(2, cpu_millicores=1000), number=1)
        record = UpstreamHost("b", "mb", "", "", "", "r", Resources(4000, 4000, 0), frozenset())
        pool.add_host(record).contact = HostContact.ANSWERING
        self.assertEqual("b", place(pool, StepSpec(1, cpu_millicores=1000), number=2))

    def test_nearness_and_spread_rank_above_warmth(self) -> None:
        near = StepSpec(1, cpu_millicores=1000, near_rack="x")
        self.assertEqual("a", place(make_pool("a", "b", racks="xy"), near))
        lasting = StepSpec(2, cpu_millicores=1000, is_lasting=True)
        self.assertEqual("ab", place(make_pool("a", "b"), lasting))
        one = StepSpec(1, cpu_millicores=1000, is_lasting=True)
        self.assertEqual("b", place(make_pool("a", "b"), one))

    def test_gangs_are_placed_on_warm_hosts_first(self) -> None:
        gang = StepSpec(2, cpu_millicores=2000, is_gang=True)
        self.assertEqual("bb", place(make_pool("a", "b"), gang))
        one_rack = StepSpec(2, cpu_millicores=2000, is_gang=True, wants_one_rack=True)
        self.assertEqual("bb", place(make_pool("a", "b", racks="xy"), one_rack))

    def test_host_is_warm_once_its_time_is_over(self) -> None:
        pool = make_pool("a", "b")
        pool.hosts["a"].cold.until_s = NOW_S
        pool.hosts["b"].cold.until_s = NOW_S + 0.1
        self.assertEqual("aaaa", place(pool, STEP))


class StartLimitTest(TestCase):
    LIMIT = ColdStartLimit(2.0, 3.0)

    def test_limit_comes_from_the_configuration_and_the_bounds(self) -> None:
        policy = PoolPolicy("pool", cold_starts_per_s=2.0)
        self.assertEqual(self.LIMIT, make_start_limit(policy, 3.0))
        self.assertEqual(1.0, make_start_limit(policy, 0.0).burst)
        self.assertEqual(0.0, make_start_limit(None, 5.0).starts_per_s)

    def test_cold_host_gets_no_more_runs_than_it_has_tokens(self) -> None:
        pool = make_pool("a")
        set_start_limit(pool, self.LIMIT, NOW_S)
        self.assertEqual("aaa", place(pool, STEP))
        place_waiting(pool, NOW_S, 1_000)
        self.assertEqual("aaa", list_hosts(pool))

    def test_runs_that_were_not_sent_yet_count_against_later_tokens(self) -> None:
        pool = make_pool("a")
        set_start_limit(pool, self.LIMIT, NOW_S)
        place(pool, STEP)
        host = pool.hosts["a"]
        for run in list(host.runs.values())[:2]:
            self.assertTrue(host.cold.take_start(self.LIMIT, NOW_S))
            run.phase = RunPhase.PRESENT
        place_waiting(pool, NOW_S, 1_000)
        self.assertEqual("aaa", list_hosts(pool))
        place_waiting(pool, NOW_S + 0.5, 1_000)
        self.assertEqual("aaaa", list_hosts(pool))

    def test_limit_does_not_hold_for_warm_hosts(self) -> None:
        pool = make_pool("a", "b")
        set_start_limit(pool, ColdStartLimit(0.1, 1.0), NOW_S)
        step = StepSpec(8, cpu_millicores=1000)
        self.assertEqual("abbbb", place(pool, step))

    def test_cold_host_gets_no_run_before_the_limit_is_known(self) -> None:
        """An owner that had read no configuration started any number of runs on cold hosts."""
        pool = make_pool("a", "b")
        pool.cold_start_limit = UNKNOWN_LIMIT
        self.assertEqual("bbbb", place(pool, StepSpec(8, cpu_millicores=1000)))
        cold, warm = pool.hosts["a"].cold, pool.hosts["b"].cold
        self.assertFalse(cold.take_start(UNKNOWN_LIMIT, NOW_S))
        self.assertTrue(warm.take_start(UNKNOWN_LIMIT, NOW_S))

    def test_gang_waits_until_its_cold_hosts_may_start_all_members(self) -> None:
        pool = make_pool("a")
        set_start_limit(pool, ColdStartLimit(2.0, 3.0), NOW_S)
        pool.hosts["a"].cold.take_start(pool.cold_start_limit, NOW_S)
        self.assertEqual("", place(pool, StepSpec(3, cpu_millicores=1000, is_gang=True)))
        place_waiting(pool, NOW_S + 0.5, 1_000)
        self.assertEqual("aaa", list_hosts(pool))


class ColdIsNoFaultTest(TestCase):
    def make_slow(self, step: StepSpec, cold: str, warm: str, slow: str = "d") -> PoolJobs:
        """Make two jobs with a task on each host; those on ``slow`` hosts lag; z is empty."""
        pool = make_pool(cold, warm + "z")
        names = sorted(cold + warm)
        for number in (1, 2):
            spec = JobSpec(f"{number:016x}", "queue", "pool", "", (step,))
            job = pool.add_job(spec, POLICY, 0, 0.0)
            for name, task in zip(names, job.get_tasks(0, 0), strict=True):
                pool.place(task, pool.hosts[name])
        for name in names:
            set_present(pool.hosts[name], NOW_S - 1, 8 if name in slow else 60)
        return pool

    def test_slow_runs_on_a_cold_host_are_neither_moved_nor_is_it_paused(self) -> None:
        self.assertEqual(2, len(move_stragglers(self.make_slow(STEP, "", "abcd"), NOW_S)))
        pool = self.make_slow(STEP, "d", "abc")
        self.assertEqual([], move_stragglers(pool, NOW_S))
        self.assertFalse(pool.hosts["d"].is_paused(NOW_S))

    def test_slow_runs_on_a_cold_host_get_no_copies(self) -> None:
        step = StepSpec(4, cpu_millicores=1000, allows_copies=True)
        for cold, warm, copy_count in (("", "abcd", 2), ("d", "abc", 0)):
            pool = self.make_slow(step, cold, warm)
            move_stragglers(pool, NOW_S)
            self.assertEqual(copy_count, len(pool.waiting))

    def test_runs_that_began_cold_are_not_compared_once_the_host_is_warm(self) -> None:
        pool = self.make_slow(STEP, "d", "abc")
        pool.hosts["d"].cold.until_s = NOW_S - 0.1
        self.assertEqual([], move_stragglers(pool, NOW_S))

    def test_runs_on_cold_hosts_do_not_hide_a_slow_warm_host(self) -> None:
        pool = self.make_slow(StepSpec(6, cpu_millicores=1000), "abc", "def", slow="abcd")
        self.assertEqual({"d"}, {each.run.host_id for each in move_stragglers(pool, NOW_S)})

    def test_run_without_progress_is_stalled_only_after_the_host_is_warm(self) -> None:
        pool = make_pool("a")
        place(pool, STEP)
        set_present(pool.hosts["a"], NOW_S, 5)
        self.assertEqual([], stop_stalled(pool, COLD_UNTIL_S - 1))
        self.assertEqual([], stop_stalled(pool, COLD_UNTIL_S + STALL_S))
        self.assertFalse(pool.hosts["a"].is_paused(COLD_UNTIL_S))
        self.assertEqual(4, len(stop_stalled(pool, COLD_UNTIL_S + STALL_S + 0.1)))

    def test_late_response_of_a_cold_host_does_not_make_it_unresponsive(self) -> None:
        pool = make_pool("ab", "c")
        for host in pool.hosts.values():
            host.record_order_sent(NOW_S)
        late_s = NOW_S + UNRESPONSIVE_AFTER_S + 0.01
        self.assertEqual({"c"}, list_unresponsive(pool, late_s))
        lost_s = NOW_S + COLD_UNRESPONSIVE_AFTER_S + 0.01
        self.assertEqual({"a", "b", "c"}, list_unresponsive(pool, lost_s))


class RunTimesTest(TestCase):
    def end_all(self, pool: PoolJobs, at_s: float) -> None:
        for host in pool.hosts.values():
            for run in list(host.runs.values()):
                pool.end_run(run, RunEnd.DONE, "", 1_000, at_s)

    def test_run_times_on_cold_hosts_do_not_enter_the_estimates(self) -> None:
        for cold, warm, expected_s in (("ab", "", 1.0), ("", "ab", 4.0)):
            pool = make_pool(cold, warm)
            step = StepSpec(8, cpu_millicores=1000, estimate_ms=1000)
            place(pool, step)
            for host in pool.hosts.values():
                set_present(host, NOW_S, 50)
            self.end_all(pool, NOW_S + 4)
            self.assertAlmostEqual(expected_s, pool.run_times.estimate_s("queue", step), 3)

    def test_run_that_was_cold_for_a_part_only_does_not_enter_either(self) -> None:
        pool = make_pool("a")
        place(pool, STEP)
        set_present(pool.hosts["a"], COLD_UNTIL_S - 1, 50)
        tasks = [run.task for run in pool.hosts["a"].runs.values()]
        self.end_all(pool, COLD_UNTIL_S + 5)
        job = pool.jobs[tasks[0].job_id]
        self.assertEqual({None}, {job.get_task(task).took_s for task in tasks})
