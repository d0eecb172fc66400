"""Crashes in a job's progress record, also in records of older and newer versions."""

import msgspec
from testtools import TestCase

from robinthread._internal.jobs.crashes import Crash
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.progress import decode_progress, encode_progress
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.task_key import TaskKey

SPEC = JobSpec("0" * 16, "queue", "pool", "", (StepSpec(2),))
POLICY = QueuePolicy("queue", "", "", "pool")
KEY = TaskKey(SPEC.job_id, 0, 0, 1)
CRASHES = (
    Crash("h1", "m1", 1, 12, True, False, True),
    Crash("h2", "m2", 2, 11, True, True),
)


def restore(value: bytes) -> PoolJobs:
    """Return the pool of a next owner, restored from a progress record."""
    pool = PoolJobs()
    pool.add_job(SPEC, POLICY, 0, 0.0, decode_progress(value))
    return pool


class CrashRecordsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        pool = PoolJobs()
        job = pool.add_job(SPEC, POLICY, 0, 0.0)
        task = job.get_task(KEY)
        task.last_run = 2
        pool.record_crashes(job, task, CRASHES)
        self.value = encode_progress(job)

    def test_next_owner_restores_crashes_and_suspects(self) -> None:
        pool = restore(self.value)
        task = pool.jobs[SPEC.job_id].get_task(KEY)
        self.assertEqual(CRASHES, task.crashes)
        self.assertTrue(pool.crash_tracker.is_suspect(task))
        self.assertEqual({KEY}, pool.jobs[SPEC.job_id].confirmed_crash_tasks)

    def test_next_owner_reserves_the_host_of_a_suspect_that_runs_alone(self) -> None:
        pool = PoolJobs()
        job = pool.add_job(SPEC, POLICY, 0, 0.0)
        task = job.get_task(KEY)
        task.add_run("h3").is_alone = True
        pool.record_crashes(job, task, CRASHES)
        resumed = restore(encode_progress(job))
        self.assertEqual({"h3"}, resumed.crash_tracker.trials.reserved)
        run = resumed.jobs[SPEC.job_id].get_task(KEY).runs[0]
        resumed.end_run(run, RunEnd.DONE, "", 0)
        self.assertEqual(frozenset(), resumed.crash_tracker.trials.reserved)

    def test_record_without_crash_fields_is_read_as_no_crashes(self) -> None:
        raw = msgspec.msgpack.decode(self.value)
        raw[4] = [row[:9] for row in raw[4]]
        task = restore(msgspec.msgpack.encode(raw)).jobs[SPEC.job_id].get_task(KEY)
        self.assertEqual(((), 2), (task.crashes, task.last_run))

    def test_unknown_fields_of_a_newer_record_are_ignored(self) -> None:
        raw = msgspec.msgpack.decode(self.value)
        raw[4] = [[*row, "later"] for row in raw[4]]
        raw[4][0][9] = [[*crash, 7] for crash in raw[4][0][9]]
        task = restore(msgspec.msgpack.encode(raw)).jobs[SPEC.job_id].get_task(KEY)
        self.assertEqual(CRASHES, task.crashes)

    def test_malformed_crashes_raise_a_decoding_error(self) -> None:
        raw = msgspec.msgpack.decode(self.value)
        raw[4][0][9] = [["h1"]]
        self.assertRaises(msgspec.MsgspecError, decode_progress, msgspec.msgpack.encode(raw))
