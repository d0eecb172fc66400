"""Limits of the starts that wait for a host, by its pace of answers.

Guards against tasks that are given to a host which gets to them only much later, and against hosts
with nothing to answer because too little was given to them.
"""

from testtools import TestCase

from robinthread._internal.jobs.answer_times import VALID_S, AnswerTimes
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.scheduling import place_waiting
from robinthread._internal.jobs.start_limits import (
    START_BOUND_S,
    START_WAIT_MAX_S,
    get_start_limit,
    get_wait_max_s,
    list_surplus,
)
from robinthread._internal.jobs.start_slots import (
    START_SLOTS,
    START_SLOTS_MAX,
    StartSlots,
)
from robinthread._internal.jobs.unresponsive_hosts import UNRESPONSIVE_AFTER_S, list_unresponsive
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from tests.lib.job_platforms import QUEUE, make_job

NOW_S = 100.0
WIDE = StepSpec(40, cpu_millicores=100, memory_mb=1)


def make_pool(*names: str) -> PoolJobs:
    pool = PoolJobs()
    for name in names:
        record = UpstreamHost(
            name, f"m{name}", "", "", "", "r", Resources(64_000, 64_000, 0), frozenset()
        )
        pool.add_host(record).contact = HostContact.ANSWERING
    return pool


def add_job(pool: PoolJobs, step: StepSpec, number: int = 1) -> None:
    job = pool.add_job(make_job(number, step), QUEUE, number, NOW_S)
    pool.queue_due_tasks(job, 0)


def place(pool: PoolJobs, now_s: float = NOW_S) -> dict[str, int]:
    place_waiting(pool, now_s, 0)
    return {name: len(host.runs) for name, host in pool.hosts.items()}


def make_inherited_run() -> Run:
    run = Run(TaskKey(f"{2:016x}", 0, 0, 0), 1, "a", "")
    run.phase, run.is_inherited = RunPhase.SENDING, True
    return run


class AnswerTimesTest(TestCase):
    def test_mean_follows_the_newest_answers(self) -> None:
        times = AnswerTimes()
        self.assertEqual(0.0, times.get_mean_s(NOW_S))
        times.record(0.4, NOW_S)
        self.assertEqual(0.4, times.get_mean_s(NOW_S))
        for _ in range(10):
            times.record(0.0, NOW_S)
        self.assertLess(times.get_mean_s(NOW_S), 0.03)

    def test_old_answers_say_nothing(self) -> None:
        times = AnswerTimes()
        times.record(0.4, NOW_S)
        later_s = NOW_S + VALID_S + 0.1
        self.assertEqual(0.0, times.get_mean_s(later_s))
        times.record(0.01, later_s)
        self.assertEqual(0.01, times.get_mean_s(later_s))


class StartLimitTest(TestCase):
    def _make_slow(self, pool: PoolJobs, name: str, mean_s: float) -> Host:
        host = pool.hosts[name]
        host.answer_times.record(mean_s, NOW_S)
        return host

    def test_slow_host_gets_as_many_starts_as_it_answers_in_time(self) -> None:
        pool = make_pool("a")
        self._make_slow(pool, "a", 0.25)
        add_job(pool, WIDE)
        self.assertEqual({"a": START_SLOTS * 2}, place(pool))
        self.assertEqual(40 - START_SLOTS * 2, len(pool.waiting))
        for run in pool.hosts["a"].runs.values():
            run.phase = RunPhase.SENDING
            pool.confirm_start(run, NOW_S)
        self.assertEqual({"a": 2 * START_SLOTS * 2}, place(pool))

    def test_host_gets_as_many_as_are_sent_at_once_however_slow_it_is(self) -> None:
        pool = make_pool("a")
        host = self._make_slow(pool, "a", 4.0)
        self.assertEqual(START_SLOTS, get_start_limit(host, START_BOUND_S, NOW_S))

    def test_host_without_answers_and_prompt_host_get_all_that_fit(self) -> None:
        pool = make_pool("a")
        add_job(pool, WIDE)
        self.assertEqual({"a": 40}, place(pool))
        pool = make_pool("b")
        self._make_slow(pool, "b", 0.005)
        add_job(pool, WIDE)
        self.assertEqual({"b": 40}, place(pool))

    def test_other_tasks_go_to_other_hosts(self) -> None:
        pool = make_pool("a", "b")
        self._make_slow(pool, "a", 0.25)
        add_job(pool, WIDE)
        counts = place(pool)
        self.assertEqual(40, sum(counts.values()))
        self.assertLessEqual(counts["a"], START_SLOTS * 2)

    def test_lasting_tasks_are_limited_too(self) -> None:
        pool = make_pool("a")
        self._make_slow(pool, "a", 0.25)
        add_job(pool, StepSpec(20, cpu_millicores=100, memory_mb=1, is_lasting=True))
        self.assertEqual({"a": START_SLOTS * 2}, place(pool))

    def test_gang_gets_as_many_as_are_answered_within_its_timeout(self) -> None:
        for count, is_placed in ((24, True), (25, False)):
            pool = make_pool("a")
            self._make_slow(pool, "a", 0.25)
            add_job(pool, StepSpec(count, cpu_millicores=100, memory_mb=1, is_gang=True))
            self.assertEqual({"a": count if is_placed else 0}, place(pool))

    def test_recording_time_is_added(self) -> None:
        """Guards against hosts that have nothing to answer while the store is slow."""
        pool = make_pool("a")
        self._make_slow(pool, "a", 0.25)
        pool.recording_times.record(0.25, NOW_S)
        add_job(pool, WIDE)
        self.assertEqual({"a": START_SLOTS * 3}, place(pool))

    def test_surplus_of_a_host_that_turns_out_to_be_slow_is_taken_back(self) -> None:
        pool = make_pool("a")
        host = pool.hosts["a"]
        add_job(pool, WIDE)
        place(pool)
        runs = list(host.runs.values())
        for run in runs[:START_SLOTS]:
            run.phase, run.sent_at_s = RunPhase.SENDING, NOW_S
        self.assertEqual([], list_surplus(pool, host, NOW_S))
        self._make_slow(pool, "a", 0.25)
        self.assertEqual(runs[START_SLOTS * 2 :], list_surplus(pool, host, NOW_S))
        runs[-1].phase = RunPhase.PRESENT
        self.assertEqual(runs[START_SLOTS * 2 : -1], list_surplus(pool, host, NOW_S))

    def test_members_of_a_gang_are_not_taken_back(self) -> None:
        pool = make_pool("a")
        add_job(pool, StepSpec(40, cpu_millicores=100, memory_mb=1, is_gang=True))
        place(pool)
        host = self._make_slow(pool, "a", 0.25)
        self.assertEqual([], list_surplus(pool, host, NOW_S))
        [run, *_] = host.runs.values()
        self.assertEqual(pool.gang_timeout_s, get_wait_max_s(pool, run))

    def test_start_of_another_task_waits_for_a_bounded_time(self) -> None:
        pool = make_pool("a")
        add_job(pool, WIDE)
        place(pool)
        [run, *_] = pool.hosts["a"].runs.values()
        self.assertEqual(START_WAIT_MAX_S, get_wait_max_s(pool, run))

    def test_host_that_usually_answers_slowly_is_not_unresponsive_meanwhile(self) -> None:
        pool = make_pool("a", "b")
        for host in pool.hosts.values():
            host.record_order_sent(NOW_S)
        self._make_slow(pool, "a", 0.3)
        self.assertEqual({"b"}, list_unresponsive(pool, NOW_S + UNRESPONSIVE_AFTER_S + 0.1))
        self.assertIn("a", list_unresponsive(pool, NOW_S + 0.46))


class UnansweredTest(TestCase):
    """Guards against a host that gets no starts because of runs that have long been answered."""

    def setUp(self) -> None:
        super().setUp()
        self.pool = make_pool("a", "b")
        self.host = self.pool.hosts["a"]
        add_job(self.pool, StepSpec(6, cpu_millicores=100, memory_mb=1))
        for task in list(self.pool.waiting.values()):
            run = self.pool.place(task, self.host, now_s=NOW_S)
            run.phase, run.sent_at_s = RunPhase.SENDING, NOW_S

    def test_run_that_is_confirmed_stopped_ended_or_forgotten_is_answered(self) -> None:
        confirmed, stopped, ended, forgotten, *waiting = list(self.host.unanswered.values())
        self.pool.confirm_start(confirmed, NOW_S)
        self.pool.stop(stopped)
        self.pool.end_run(ended, RunEnd.DONE, "", 0)
        self.pool.forget_run(forgotten)
        self.assertEqual(waiting, list(self.host.unanswered.values()))

    def test_host_that_ends_leaves_none(self) -> None:
        self.pool.remove_host("a", 0)
        self.assertEqual({}, self.host.unanswered)

    def test_runs_of_an_earlier_owner_do_not_count(self) -> None:
        self.host.add_run(make_inherited_run(), WIDE.resources)
        self.assertEqual(6, len(self.host.unanswered))


class StartSlotsTest(TestCase):
    """Guards against slow hosts that stand idle, and against more starts than a host bears."""

    def record(self, slots: StartSlots, *took_s: float) -> None:
        for took in took_s:
            slots.record_answer(took, NOW_S, may_grow=True)

    def test_host_whose_answers_take_no_longer_gets_more_slots(self) -> None:
        slots = StartSlots()
        self.record(slots, *[0.3] * 30)
        self.assertEqual(START_SLOTS_MAX, slots.count)

    def test_host_that_works_off_its_starts_in_turn_gets_no_more(self) -> None:
        slots = StartSlots()
        self.record(slots, 0.11, 0.22, *[0.33] * 30)
        self.assertEqual(START_SLOTS, slots.count)

    def test_prompt_host_and_one_that_loses_starts_get_no_more(self) -> None:
        slots = StartSlots()
        self.record(slots, *[0.3] * 30)
        for _ in range(3):
            slots.record_loss()
        self.assertEqual(START_SLOTS, slots.count)
        self.record(slots, *[0.3] * 30, 0.01)
        self.assertEqual(START_SLOTS, slots.count)

    def test_no_more_slots_while_some_are_free(self) -> None:
        slots = StartSlots()
        slots.record_answer(0.3, NOW_S, may_grow=False)
        self.assertEqual(START_SLOTS, slots.count)
