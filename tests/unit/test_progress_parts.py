"""Progress of jobs with many tasks is recorded in parts and restored from them."""

import msgspec
from testtools import TestCase

from robinthread._internal.durable.record_limits import find_excess
from robinthread._internal.jobs.occurrence_set import OccurrenceSet, get_ranges
from robinthread._internal.jobs.part_key import PartKey, is_part_key, parse_part_key
from robinthread._internal.jobs.progress import decode_progress, encode_progress
from robinthread._internal.jobs.progress_parts import (
    PART_TASKS,
    ProgressPart,
    decode_part,
)
from robinthread._internal.jobs.run import RunPhase
from robinthread._internal.models.host_report import RunEnd
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.progress_changes import take_changes
from tests.lib.recorded_jobs import (
    LIMITS,
    Recorded,
    finish,
    make_pool,
    make_wide_job,
    record,
    start,
)


class ProgressPartsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.recorded = Recorded()

    def test_next_owner_restores_every_task_from_the_parts(self) -> None:
        spec = make_wide_job(3 * PART_TASKS)
        pool, job = make_pool(spec)
        pool.queue_due_tasks(job, 0)
        start(pool, job, range(600))
        finish(pool, job, range(100, 300))
        record(job, self.recorded)
        start(pool, job, range(600, 700))
        finish(pool, job, range(300, 310))
        record(job, self.recorded)
        _, restored = make_pool(spec, self.recorded.load())
        done = {task.key.index for task in restored.tasks.values() if task.is_done}
        self.assertEqual(set(range(100, 310)), done)
        hosts = {key: [run.host_id for run in task.runs] for key, task in job.tasks.items()}
        restored_hosts = {
            key: [run.host_id for run in task.runs] for key, task in restored.tasks.items()
        }
        self.assertEqual(
            {key: found for key, found in hosts.items() if found},
            {key: found for key, found in restored_hosts.items() if found},
        )

    def test_only_parts_with_changes_are_written_again(self) -> None:
        """Each change wrote all tasks of the job that were ever started."""
        pool, job = make_pool(make_wide_job(3 * PART_TASKS))
        pool.queue_due_tasks(job, 0)
        start(pool, job, range(3 * PART_TASKS))
        record(job, self.recorded)
        finish(pool, job, range(PART_TASKS, PART_TASKS + 1))
        keys = [one.key for one in record(job, self.recorded).records]
        self.assertEqual([PartKey(0, 1).format(job.id), job.id], keys)

    def test_small_job_is_recorded_whole_as_older_builds_read_it(self) -> None:
        pool, job = make_pool(make_wide_job(PART_TASKS - 1))
        pool.queue_due_tasks(job, 0)
        start(pool, job, range(10))
        (only,) = record(job, self.recorded).records
        self.assertEqual(job.id, only.key)
        self.assertEqual(10, len(decode_progress(only.value or b"").tasks))

    def test_job_is_not_split_while_older_builds_may_take_it_over(self) -> None:
        """An older build would not read the parts, and start their tasks again."""
        pool, job = make_pool(make_wide_job(3 * PART_TASKS))
        pool.queue_due_tasks(job, 0)
        start(pool, job, range(600))
        record(job, self.recorded, may_split=False)
        self.assertEqual([job.id], list(self.recorded.values))
        finish(pool, job, range(5))
        record(job, self.recorded)
        self.assertEqual([], list(decode_progress(self.recorded.values[job.id]).tasks))
        restored = self.recorded.load()
        self.assertEqual(600, len(restored.tasks))
        self.assertEqual(5, sum(row.is_done for row in restored.tasks))

    def test_job_recorded_whole_by_an_older_build_is_written_anew_in_parts(self) -> None:
        """Rows of tasks that did not change would be lost with the older record."""
        spec = make_wide_job(3 * PART_TASKS)
        pool, job = make_pool(spec)
        pool.queue_due_tasks(job, 0)
        start(pool, job, range(600))
        whole = decode_progress(encode_progress(job))
        next_pool, next_job = make_pool(spec, whole)
        finish(next_pool, next_job, range(3))
        record(next_job, self.recorded)
        self.assertEqual(600, len(self.recorded.load().tasks))

    def test_rows_of_parts_win_over_those_of_an_unsplit_record(self) -> None:
        """The owner ended after it had written the parts, before the job's own record."""
        spec = make_wide_job(3 * PART_TASKS)
        pool, job = make_pool(spec)
        pool.queue_due_tasks(job, 0)
        start(pool, job, range(600))
        record(job, self.recorded, may_split=False)
        finish(pool, job, range(5))
        parts = [one for one in take_changes(job, True, LIMITS).records if is_part_key(one.key)]
        self.recorded.store(tuple(parts[:1]))
        restored = self.recorded.load()
        self.assertFalse(restored.is_split)
        self.assertEqual(5, sum(row.is_done for row in restored.tasks))
        self.assertEqual(600, len(restored.tasks))

    def test_done_occurrences_leave_no_parts_and_no_tasks_behind(self) -> None:
        """A timed job kept and wrote a row for each task of its past occurrences."""
        spec = make_wide_job(300, occurrence_count=1000)
        pool, job = make_pool(spec)
        sizes = []
        for occurrence in range(100):
            pool.queue_due_tasks(job, occurrence * 1000)
            for step, count in ((0, 300), (1, 1)):
                start(pool, job, range(count), occurrence, step)
                record(job, self.recorded)
                finish(pool, job, range(count), occurrence, step)
            record(job, self.recorded)
            sizes.append(sum(map(len, self.recorded.values.values())))
            self.assertEqual([job.id], list(self.recorded.values))
        self.assertLessEqual(sizes[-1], sizes[0] + 10)
        self.assertEqual({}, job.tasks)
        self.assertEqual(100 * 301, job.count_runs())
        _, restored = make_pool(spec, self.recorded.load())
        self.assertEqual([], list(restored.iter_open_occurrences()))
        self.assertFalse(restored.has_task(TaskKey(job.id, 99, 0, 0)))
        self.assertTrue(restored.has_task(TaskKey(job.id, 100, 0, 0)))

    def test_occurrence_with_an_open_run_is_not_retired(self) -> None:
        """The stop of a copy of a done task may still be under way."""
        spec = make_wide_job(300, occurrence_count=2)
        pool, job = make_pool(spec)
        pool.queue_due_tasks(job, 0)
        start(pool, job, range(300))
        finish(pool, job, range(299))
        start(pool, job, range(1), step=1)
        last = job.get_task(TaskKey(job.id, 0, 0, 299))
        last.runs[0].phase = RunPhase.PRESENT
        self.assertTrue(pool.record_late_completion(last.key, 1, "", 1))
        finish(pool, job, range(1), step=1)
        record(job, self.recorded)
        self.assertNotIn(0, job.retired)
        (run,) = last.runs
        pool.end_run(run, RunEnd.STOPPED, "", 1)
        record(job, self.recorded)
        self.assertIn(0, job.retired)

    def test_ended_job_keeps_only_its_own_record(self) -> None:
        pool, job = make_pool(make_wide_job(600))
        pool.queue_due_tasks(job, 0)
        start(pool, job, range(600))
        record(job, self.recorded)
        self.assertEqual(4, len(self.recorded.values))
        pool.cancel(job, 1)
        for task in list(job.iter_running()):
            for run in list(task.runs):
                pool.end_run(run, RunEnd.STOPPED, "", 1)
        record(job, self.recorded)
        self.assertEqual([job.id], list(self.recorded.values))

    def test_checkpoints_over_the_limit_are_left_out(self) -> None:
        """A record that the store rejects would keep the job from starting anything."""
        pool, job = make_pool(make_wide_job(600))
        pool.queue_due_tasks(job, 0)
        start(pool, job, range(600))
        for index in range(600):
            job.get_task(TaskKey(job.id, 0, 0, index)).checkpoint = "c" * 2000
        for one in record(job, self.recorded).records:
            self.assertEqual("", find_excess(one, LIMITS))
        left = {row.index for row in self.recorded.load().tasks if row.checkpoint}
        self.assertEqual(set(range(2 * PART_TASKS, 600)), left)

    def test_malformed_parts_are_rejected(self) -> None:
        key = PartKey(0, 1)
        for value in (
            b"",
            msgspec.msgpack.encode(ProgressPart(0, 2)),
            msgspec.msgpack.encode([0, 1, [], [[0, 0, 0, False, 1, 0, [[1, 3]]]]]),
            msgspec.msgpack.encode([0, 1, [], [], [], [[0, 0, PART_TASKS + 1]]]),
            msgspec.msgpack.encode([0, 1, [], [], [], [[-1, 0, 1]]]),
        ):
            self.assertRaises(msgspec.MsgspecError, decode_part, key, value)
        for text in ("a/1", "a/1/x", "/1/1", "a/1/1/1", "a/-1/1", "a/²/1"):
            self.assertRaises(msgspec.ValidationError, parse_part_key, text)


class OccurrenceSetTest(TestCase):
    def test_ranges_restore_the_set(self) -> None:
        found = OccurrenceSet()
        for occurrence in (0, 1, 5, 3, 6, 2):
            found.add(occurrence)
        self.assertEqual(((0, 4), (5, 2)), found.list_ranges())
        self.assertEqual((4, 6), (found.find_missing(0), len(found)))
        restored = OccurrenceSet()
        restored.add_ranges(found.list_ranges())
        self.assertEqual(found.list_ranges(), restored.list_ranges())

    def test_ranges_of_no_numbers_are_none(self) -> None:
        self.assertEqual((), get_ranges(()))
