"""A host that restarts under its id is a new incarnation in ids, records and crash counts."""

import msgspec
from testtools import TestCase

from robinthread._internal.jobs.crashes import is_suspect
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_restart import adopt_runs, end_previous_incarnation
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.progress import JobProgress, decode_progress, encode_progress
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.unconfirmed_starts import UNCONFIRMED_START_MAX_S, UnconfirmedStarts
from robinthread._internal.models.host_incarnation import make_incarnation_id, split_incarnation_id
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from tests.lib.job_platforms import HOST_CAPACITY, POOL, QUEUE, make_job

STARTED_MS, RESTARTED_MS = 1_777_007_541_075, 1_777_007_560_000
TASK = TaskKey(f"{1:016x}", 0, 0, 0)


def _make_record(host_started_at_ms: int | None) -> UpstreamHost:
    return UpstreamHost(
        "i-1",
        "m-1",
        POOL,
        "m-1:80",
        "",
        "r0",
        HOST_CAPACITY,
        frozenset(),
        host_started_at_ms=host_started_at_ms,
    )


class IncarnationIdTest(TestCase):
    def test_incarnations_of_one_host_have_distinct_ids(self) -> None:
        ids = [
            make_incarnation_id("i-1", host_started_at_ms)
            for host_started_at_ms in (None, 0, STARTED_MS, RESTARTED_MS)
        ]
        self.assertEqual(4, len(set(ids)))

    def test_id_yields_its_host_and_start_time(self) -> None:
        for host_id in ("i-1", "a@b", "", "x@"):
            for host_started_at_ms in (None, 0, STARTED_MS):
                incarnation_id = make_incarnation_id(host_id, host_started_at_ms)
                self.assertEqual(
                    (host_id, host_started_at_ms), split_incarnation_id(incarnation_id)
                )


class UnconfirmedStartsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.unconfirmed = UnconfirmedStarts()

    def test_start_with_a_response_to_each_order_is_not_open(self) -> None:
        self.unconfirmed.record_order_sent("i-1", (TASK, 1), 0.0)
        self.unconfirmed.record_start_settled("i-1", (TASK, 1))
        self.assertEqual([], self.unconfirmed.list_open("i-1", 0.0))

    def test_start_is_open_while_one_order_has_no_response(self) -> None:
        self.unconfirmed.record_order_sent("i-1", (TASK, 1), 0.0)
        self.unconfirmed.record_order_sent("i-1", (TASK, 1), 1.0)
        self.unconfirmed.record_start_settled("i-1", (TASK, 1))
        self.assertEqual([(TASK, 1)], self.unconfirmed.list_open("i-1", 1.0))
        self.assertEqual([], self.unconfirmed.list_open("i-2", 1.0))
        self.assertEqual([], self.unconfirmed.list_open("i-1", 1.1 + UNCONFIRMED_START_MAX_S))
        self.assertEqual(0.0, self.unconfirmed.get_last_deadline_s("i-1"))


class RecordsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = PoolJobs()
        self.job = self.pool.add_job(make_job(1), QUEUE, 0, 0.0)

    def _place(self, host_started_at_ms: int | None, index: int) -> Run:
        host = self.pool.add_host(_make_record(host_started_at_ms))
        return self.pool.place(self.job.get_task(TaskKey(self.job.id, 0, 0, index)), host)

    def test_record_distinguishes_incarnations(self) -> None:
        self.pool.queue_due_tasks(self.job, 0)
        runs = [
            self._place(host_started_at_ms, index)
            for index, host_started_at_ms in enumerate((STARTED_MS, RESTARTED_MS))
        ]
        read = PoolJobs()
        read.add_job(make_job(1), QUEUE, 0, 0.0, decode_progress(encode_progress(self.job)))
        self.assertEqual({run.host_id for run in runs}, set(read.hosts))
        self.assertEqual({"i-1"}, {host.record.id for host in read.hosts.values()})

    def test_older_process_reads_the_hosts_own_ids(self) -> None:
        self.pool.queue_due_tasks(self.job, 0)
        self._place(STARTED_MS, 0)
        fields = msgspec.msgpack.decode(encode_progress(self.job))
        self.assertEqual(["i-1"], fields[3])
        self.assertEqual([STARTED_MS], fields[6])

    def test_record_of_an_older_process_names_no_incarnation(self) -> None:
        self.pool.queue_due_tasks(self.job, 0)
        self._place(None, 0)
        fields = msgspec.msgpack.decode(encode_progress(self.job))
        progress = decode_progress(msgspec.msgpack.encode(fields[:6]))
        self.assertEqual(("i-1",), progress.list_incarnations())

    def test_start_times_without_hosts_are_rejected(self) -> None:
        wrong = msgspec.msgpack.encode(JobProgress("1", "q", "running", ("h",), (), 0, (1, 2)))
        self.assertRaises(msgspec.ValidationError, decode_progress, wrong)


class HostRestartTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = PoolJobs()
        self.job = self.pool.add_job(make_job(1), QUEUE, 0, 0.0)
        self.pool.queue_due_tasks(self.job, 0)
        self.previous = self.pool.add_host(_make_record(STARTED_MS))
        self.previous.contact = HostContact.ANSWERING
        self.host = self.pool.add_host(_make_record(RESTARTED_MS))

    def _start(self, index: int, answered_at_s: float | None) -> Run:
        run = self.pool.place(self.job.get_task(TaskKey(self.job.id, 0, 0, index)), self.previous)
        run.phase, run.sent_at_s = RunPhase.SENDING, 1.0
        self.pool.unconfirmed_starts.record_order_sent("i-1", run.key, 1.0)
        if answered_at_s is not None:
            self.pool.unconfirmed_starts.record_start_settled("i-1", run.key)
            self.pool.confirm_start(run, answered_at_s)
        return run

    def _end_previous(self, present: frozenset[tuple[TaskKey, int]] = frozenset()) -> None:
        end_previous_incarnation(self.pool, self.previous, self.host, present, 5.0, 5.1, 5100)

    def test_confirmed_run_ends_with_its_incarnation(self) -> None:
        run = self._start(0, answered_at_s=1.1)
        self._end_previous()
        self.assertIs(RunPhase.OVER, run.phase)
        self.assertIn(run.task, self.pool.waiting)
        self.assertEqual({self.host.id}, set(self.pool.hosts))

    def test_task_of_an_unconfirmed_start_waits_for_its_stop_on_the_new_incarnation(self) -> None:
        run = self._start(0, answered_at_s=None)
        self._end_previous()
        self.assertIs(RunPhase.STOPPING, run.phase)
        self.assertEqual([run], self.pool.to_stop)
        self.assertEqual(self.host.id, run.host_id)
        self.assertNotIn(run.task, self.pool.waiting)

    def test_start_executed_by_the_new_incarnation_continues_there(self) -> None:
        run = self._start(0, answered_at_s=None)
        self._end_previous(frozenset({run.key}))
        self.assertIs(RunPhase.SENDING, run.phase)
        self.assertIs(run, self.host.runs[run.key])
        self.assertEqual(HOST_CAPACITY.cpu_millicores - 1000, self.host.free.cpu_millicores)

    def test_stopping_run_is_stopped_on_the_new_incarnation_too(self) -> None:
        run = self._start(0, answered_at_s=None)
        self.pool.stop(run)
        self.pool.to_stop.clear()
        run.settled_at_s = 2.0
        self._end_previous()
        self.assertEqual([run], self.pool.to_stop)

    def test_crashes_of_two_incarnations_of_one_host_both_count(self) -> None:
        run = self._start(0, answered_at_s=1.1)
        task = self.job.get_task(run.task)
        self.previous.connection_broken_at_s = 1.2
        self._end_previous()
        self.previous, self.host = self.host, self.pool.add_host(_make_record(RESTARTED_MS + 1))
        self.previous.contact = HostContact.ANSWERING
        again = self.pool.place(task, self.previous)
        again.phase, again.sent_at_s = RunPhase.SENDING, 6.0
        self.pool.confirm_start(again, 6.0)
        self.previous.connection_broken_at_s = 6.1
        end_previous_incarnation(self.pool, self.previous, self.host, frozenset(), 8.0, 8.1, 8100)
        self.assertEqual(2, len(task.crashes))
        self.assertTrue(is_suspect(task.crashes))

    def test_runs_without_start_times_belong_to_the_responding_incarnation(
        self,
    ) -> None:
        unnamed: Host = self.pool.add_host(_make_record(None))
        run = self.pool.place(self.job.get_task(TaskKey(self.job.id, 0, 0, 0)), unnamed)
        run.phase = RunPhase.SENDING
        adopt_runs(self.pool, unnamed, self.host)
        self.assertIs(run, self.host.runs[run.key])
        self.assertNotIn(unnamed.id, self.pool.hosts)
