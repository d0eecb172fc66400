"""Jobs whose progress would outgrow a record of the store."""

import asyncio

import msgspec
from testtools import TestCase

from robinthread._internal.durable.errors import StoreRejectedError
from robinthread._internal.durable.inbox_records import INBOX_PARTITION
from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.jobs.part_key import is_part_key
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.job_request_outcome import JobRequestOutcome
from robinthread._internal.node.node_settings import StoreLimits
from robinthread._internal.node.pool_owner import PROGRESS_TOPIC
from robinthread._internal.node.progress_recorder import HELD_BACK_S
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.node_settings_standin import STORE_LIMITS
from robinthread._internal.standins.platform_standin import PlatformStandin
from robinthread._internal.telemetry.event_log import EventLog
from tests.lib.job_platforms import (
    find_violations,
    get_others,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
    wait_until,
    wait_until_done,
)
from tests.lib.virtual import run_virtual

SMALL = Resources(10, 10)
WORK_S = 0.3
# A record of this size holds some hundred rows of tasks.
SMALL_RECORD_BYTES = 2_000
SMALL_LIMITS = StoreLimits(12, SMALL_RECORD_BYTES, 40_000, 1_000)
# One that holds a part of a split job, but not the rows of three parts.
PART_LIMITS = StoreLimits(12, 8_000, 40_000, 1_000)
# An ordinary job beside a long one is done within this time: its work, and as much for all else.
ORDINARY_S = 4.0


def plan_small(task: TaskKey) -> TaskPlan:
    """Plan short tasks."""
    return TaskPlan(WORK_S, SMALL)


def make_small_job(number: int, task_count: int) -> JobSpec:
    """Make a job of one step of small tasks."""
    return make_job(number, StepSpec(task_count, SMALL.cpu_millicores, SMALL.memory_mb))


def make_timed_job(task_count: int, occurrence_count: int) -> JobSpec:
    """Make a job that runs each second."""
    return msgspec.structs.replace(
        make_small_job(1, task_count),
        occurrence_count=occurrence_count,
        first_due_ms=1000,
        interval_ms=1000,
    )


async def start_limited(limits: StoreLimits, nodes: int = 3) -> PlatformStandin:
    """Start a platform whose store has other limits."""

    def prepare(platform: PlatformStandin) -> None:
        platform.store_limits = limits
        platform.store.limits = limits.record_limits

    return await start_platform(plan_small, nodes=nodes, prepare=prepare)


def count_progress_bytes(platform: PlatformStandin) -> int:
    """Return the size of all appends of jobs' progress."""
    return platform.store.appended_bytes[PROGRESS_TOPIC]


def list_progress_keys(platform: PlatformStandin) -> list[str]:
    """List the keys of the progress that the store keeps."""
    return platform.store.list_keys(PROGRESS_TOPIC)


class LongJobTest(TestCase):
    def test_timed_job_does_not_outgrow_a_record(self) -> None:
        """Its progress kept a row for each past task; then its pool started nothing any more."""

        async def work() -> None:
            platform = await start_limited(PART_LIMITS)
            job = make_timed_job(500, occurrence_count=20)
            await hand_in(platform, "node0", job)
            for number in range(2, 8):
                ordinary = make_small_job(number, 6)
                await hand_in(platform, "node0", ordinary)
                await wait_for_status(platform, ordinary.job_id, JobStatus.SUCCEEDED, ORDINARY_S)
                await asyncio.sleep(3)
            await wait_until_done(platform, [job])
            self.assertEqual(20 * 500 + 6 * 6, len(platform.hosts.ledger.runs))
            self.assertEqual([], find_violations(platform))
            self.assertEqual([], list(filter(is_part_key, list_progress_keys(platform)))[1:])

        run_virtual(work())

    def test_owners_lost_in_a_split_job_do_not_repeat_its_tasks(self) -> None:
        async def work() -> None:
            platform = await start_limited(PART_LIMITS)
            job = make_timed_job(500, occurrence_count=12)
            await hand_in(platform, "node0", job)
            for _ in range(2):
                await asyncio.sleep(3.1)
                owner = get_owner(platform)
                assert owner is not None
                platform.kill_node(owner)
                await wait_until(lambda: get_owner(platform) is not None)
                platform.start_node(owner)
            await wait_until_done(platform, [job], limit_s=60)
            self.assertEqual([], find_violations(platform))
            done = {run.task for run in platform.hosts.ledger.runs if run.end == "done"}
            self.assertEqual(12 * 500, len(done))

        run_virtual(work())

    def test_written_bytes_grow_in_proportion_to_the_tasks(self) -> None:
        """Each change of a job wrote all its rows, so the bytes grew with the square."""

        async def measure(task_count: int) -> int:
            platform = await start_platform(plan_small)
            job = make_small_job(1, task_count)
            await hand_in(platform, "node0", job)
            await wait_until_done(platform, [job], limit_s=120)
            return count_progress_bytes(platform)

        few, many = (run_virtual(measure(task_count)) for task_count in (1_000, 4_000))
        self.assertLess(many, 4 * few * 1.25)


class OversizeRecordTest(TestCase):
    def test_job_that_no_record_can_hold_does_not_stop_its_pool(self) -> None:
        """The journal repeated a rejected append for good, and recorded nothing else."""

        async def work() -> None:
            platform = await start_limited(SMALL_LIMITS)
            wide = make_small_job(1, 200)
            await hand_in(platform, "node0", wide)
            await asyncio.sleep(1)
            ordinary = make_small_job(2, 6)
            await hand_in(platform, "node0", ordinary)
            await wait_for_status(platform, ordinary.job_id, JobStatus.SUCCEEDED, ORDINARY_S)
            self.assertIn(b"job_held_back", b"".join(platform.events))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_job_waits_for_older_builds_to_leave_and_is_split_then(self) -> None:
        """An older build would start the tasks of a split job again."""

        async def work() -> None:
            platform = await start_limited(PART_LIMITS)
            platform.start_node("older", reads_parts=False)
            await asyncio.sleep(2)
            wide = make_small_job(1, 900)
            await hand_in(platform, "node0", wide)
            await asyncio.sleep(3)
            self.assertEqual([], list(filter(is_part_key, list_progress_keys(platform))))
            owner = get_owner(platform)
            assert owner is not None
            platform.kill_node(owner)
            platform.start_node(owner)
            await asyncio.sleep(3)
            platform.kill_node("older")
            await wait_until_done(platform, [wide], limit_s=2 * HELD_BACK_S + 10)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_oversize_job_is_rejected_before_anything_is_written(self) -> None:
        """Its caller was told that the outcome is unknown, and others in its batch with it."""

        async def work() -> None:
            platform = await start_limited(SMALL_LIMITS)
            steps = (StepSpec(1, cpu_millicores=10, memory_mb=10),) * 100
            oversize, ordinary = make_job(1, *steps), make_small_job(2, 6)
            outcomes = await asyncio.gather(
                hand_in(platform, "node0", oversize), hand_in(platform, "node0", ordinary)
            )
            self.assertEqual([JobRequestOutcome.TOO_LARGE, JobRequestOutcome.DONE], outcomes)
            keys = platform.store.list_keys(INBOX_PARTITION.topic)
            self.assertEqual([ordinary.job_id], [key.split("/")[1] for key in keys])
            await wait_until_done(platform, [ordinary])

        run_virtual(work())

    def test_full_store_only_delays_the_records(self) -> None:
        """The store takes nothing while it keeps as much as it can (status 507)."""

        async def work() -> None:
            platform = await start_platform(plan_small)
            owner = get_owner(platform)
            job = make_small_job(1, 6)
            await hand_in(platform, get_others(platform)[0], job)
            platform.store.kept_max_bytes = 0
            await asyncio.sleep(2)
            platform.store.kept_max_bytes = 400_000_000
            await wait_until_done(platform, [job])
            self.assertEqual(owner, get_owner(platform))
            self.assertEqual([], find_violations(platform))

        run_virtual(work())


class JournalTest(TestCase):
    def _make_journal(self, platform: PlatformStandin) -> Journal:
        events = EventLog("n", write=platform.events.append)
        limits = STORE_LIMITS.record_limits
        partition = Partition("keyed.test")
        return Journal(platform.store.connect("n"), partition, "w", 1, events, limits)

    def test_rejected_record_does_not_keep_others_of_its_call_out(self) -> None:
        """The store has a lower limit than the settings tell."""

        async def work() -> None:
            platform = PlatformStandin(plan_small)
            platform.store.limits = SMALL_LIMITS.record_limits
            journal = self._make_journal(platform)
            await journal.open()
            records = [KeyedRecord(str(number), b"v") for number in range(9)]
            records.insert(4, KeyedRecord("large", b"v" * SMALL_RECORD_BYTES))
            self.assertEqual({"large"}, await journal.write_accepted(records))
            stored = platform.store.get_newest(Partition("keyed.test"))
            self.assertEqual({str(number) for number in range(9)}, set(stored))
            await journal.write([KeyedRecord("next", b"v")])
            with self.assertRaises(StoreRejectedError):
                await journal.write([KeyedRecord("large", b"v" * SMALL_RECORD_BYTES)])

        run_virtual(work())

    def test_records_over_the_size_of_a_call_take_several_appends(self) -> None:
        async def work() -> None:
            platform = PlatformStandin(plan_small)
            journal = self._make_journal(platform)
            await journal.open()
            records = [KeyedRecord(str(number), b"v" * 200_000) for number in range(25)]
            self.assertEqual(frozenset(), await journal.write_accepted(records))
            self.assertEqual(25, len(platform.store.get_newest(Partition("keyed.test"))))

        run_virtual(work())

    def test_key_over_its_limit_is_rejected(self) -> None:
        async def work() -> None:
            platform = PlatformStandin(plan_small)
            journal = self._make_journal(platform)
            await journal.open()
            key = "k" * 256
            self.assertEqual({key}, await journal.write_accepted([KeyedRecord(key, b"v")]))

        run_virtual(work())
