"""Hostile records in the partitions of the nodes' own records, read through the store's client.

Guards against a record that ends its follower, or that hides the sound ones from a new owner.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, cast

import msgspec
from testtools import TestCase

from robinthread._internal.durable.inbox_records import make_job_record
from robinthread._internal.durable.job_index import JobIndex
from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.keyed_follower import ApplyFunction, KeyedFollower
from robinthread._internal.durable.order_records import OrderTarget, make_orders_record
from robinthread._internal.durable.ownership import (
    EarlierOwner,
    Member,
    OwnerRecord,
    OwnerTable,
)
from robinthread._internal.durable.share_meter import ShareMeter
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.durable.wave_records import make_wave_record
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.progress import (
    CrashProgress,
    JobProgress,
    RunProgress,
    TaskProgress,
    restore_progress,
)
from robinthread._internal.jobs.progress_parts import DoneRange, ProgressPart, restore_parts
from robinthread._internal.models.job_policy import JobPolicy, StoredPolicy, make_queue_policy
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.queue_policy import AdvicePolicy
from robinthread._internal.node.machine_orders import MachineOrders
from robinthread._internal.node.progress_loader import load_progress
from robinthread._internal.node.wave_tracker import WaveTracker
from robinthread._internal.platform.platform_records import PLATFORM_RECORDS
from robinthread._internal.platform.store import PlatformStore
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from tests.lib.answering_fetcher import PagesOfRecords, make_answering_client
from tests.lib.hostile import list_packed
from tests.lib.virtual import run_virtual

PARTITION = Partition("keyed.x")
PERIOD_S = 0.05
READ_S = 0.3
BEARABLE_MAX = 2**53
ODD_ID, SOUND_ID = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
POLICY = JobPolicy(1, 3, 1.5, 4000, AdvicePolicy(1, 2, 300))
SPEC = JobSpec(
    ODD_ID,
    "sheets",
    "press",
    "text",
    (StepSpec(2), StepSpec(2, 500, 256, after_steps=(0,))),
    2,
    1_777_007_541_075,
    500,
    1_777_007_541_000,
    1,
    "maps",
    POLICY,
)
SOUND_SPEC = msgspec.structs.replace(SPEC, job_id=SOUND_ID)
CRASH = CrashProgress("i-1", "m-1", 1, 500, True, True, False)
ROW = TaskProgress(0, 1, 1, False, 2, 1, (RunProgress(2, 0),), "save", 1, (CRASH,))
PROGRESS = JobProgress(
    ODD_ID,
    "sheets",
    "running",
    ("i-1",),
    (ROW,),
    0,
    (1_777_007_541_075,),
    ((0, 1),),
    False,
    StoredPolicy(POLICY, 3),
)
PART = ProgressPart(0, 0, ("i-1",), (ROW,), (None,), (DoneRange(0, 0, 2),))
MEMBER = Member("n", "1", "10.0.0.1:7003", 2000, 1_777_007_541_075)
OWNER = OwnerRecord(MEMBER, False, False, (EarlierOwner(MEMBER, 3),))


async def follow(
    pages: PagesOfRecords, make_apply: Callable[[PlatformStore, EventLog], ApplyFunction]
) -> str:
    """Follow all records; return how the follower ended, "" if it goes on."""
    events = EventLog("n", lambda line: None)
    store = PlatformStore(make_answering_client(pages.answer), "a:1", NodeMetrics())
    follower = KeyedFollower(store, PARTITION, make_apply(store, events), events, PERIOD_S)
    task = asyncio.get_running_loop().create_task(follower.run())
    await asyncio.sleep(READ_S)
    if task.done():
        return repr(task.exception())[:120]
    task.cancel()
    return ""


def find_unbearable(spec: JobSpec) -> str:
    """Return why an owner doesn't bear an indexed job, or ""."""
    try:
        Job(spec, make_queue_policy("q", "p", spec.policy or POLICY), 1)
        last_due_ms = spec.first_due_ms + spec.occurrence_count * spec.interval_ms
    except Exception as error:  # whatever it is, it ends the owner
        return repr(error)[:120]
    return "" if abs(last_due_ms) <= BEARABLE_MAX else "a huge number"


class HostileRecordsTest(TestCase):
    def assert_borne(self, values: Sequence[bytes], find_fault: Callable[[bytes], Any]) -> None:
        wrong = {}
        for value in values:
            try:
                fault = run_virtual(find_fault(value))
            except Exception as error:  # whatever it is, it ends the reader
                fault = repr(error)[:120]
            if fault:
                wrong[value[:40], len(value)] = fault
        self.assertEqual({}, wrong)

    def test_inbox(self) -> None:
        """Guards against a job's record that hides all later jobs from a node."""

        async def find_fault(value: bytes) -> str:
            pages, indexes = PagesOfRecords(), []

            def make_apply(store: PlatformStore, events: EventLog) -> ApplyFunction:
                indexes.append(JobIndex(events, ShareMeter(lambda workspace: 5.0)))
                return indexes[0].apply

            pages.put(f"j/{ODD_ID}/1", value)
            sound = make_job_record(SOUND_SPEC, "1")
            pages.put(sound.key, sound.value or b"")
            end = await follow(pages, make_apply)
            found = indexes[0].jobs
            fault = next(filter(None, (find_unbearable(job.spec) for job in found.values())), "")
            return end or fault or ("" if SOUND_ID in found else "the sound job is unknown")

        self.assert_borne(list_packed(SPEC), find_fault)

    def test_owners(self) -> None:
        """Guards against a record that hides the owners of all other pools."""

        async def find_fault(value: bytes) -> str:
            pages, tables = PagesOfRecords(), []

            def make_apply(store: PlatformStore, events: EventLog) -> ApplyFunction:
                tables.append(OwnerTable(store, events))
                return tables[0]._apply

            pages.put("a-odd", value)
            pages.put("sound", msgspec.msgpack.encode(OWNER))
            end = await follow(pages, make_apply)
            unreleased = [owner.token for owner in tables[0].unreleased.get("a-odd", ())]
            fault = "" if all(abs(token) < BEARABLE_MAX for token in unreleased) else "a token"
            known = tables[0].owners
            return end or fault or ("" if "sound" in known else "the sound pool is unknown")

        self.assert_borne(list_packed(OWNER), find_fault)

    async def find_progress_fault(self, key: str, value: bytes) -> str:
        """Load an odd record of progress and sound ones, as a new owner; return what is wrong."""
        pages = PagesOfRecords()
        pages.put(key, value)
        pages.put(SOUND_ID, msgspec.msgpack.encode(JobProgress(SOUND_ID, "sheets", "running")))
        pages.put("settled/press", msgspec.msgpack.encode((7,)))
        store = PlatformStore(make_answering_client(pages.answer), "a:1", NodeMetrics())
        loaded = await load_progress(store, PARTITION, "press", EventLog("n", lambda line: None))
        if SOUND_ID not in loaded.jobs:
            return "the sound job has no progress"
        if key != "settled/press" and loaded.settled_before_token != 7:
            return "the settled owners are unknown"
        if abs(loaded.settled_before_token) > BEARABLE_MAX:
            return "a token"
        for progress in loaded.jobs.values():
            spec = msgspec.structs.replace(SPEC, job_id=progress.job_id)
            job = Job(spec, make_queue_policy("q", "p", POLICY), 1)
            restore_progress(job, progress)
            restore_parts(job, progress)
            msgspec.msgpack.encode([run.number for task in job.iter_running() for run in task.runs])
        return ""

    def test_progress(self) -> None:
        """Guards against a record of progress with which a pool never opens."""
        self.assert_borne(
            list_packed(PROGRESS), lambda value: self.find_progress_fault(ODD_ID, value)
        )

    def test_parts_of_progress(self) -> None:
        """Guards against a part with which a pool never opens."""
        self.assert_borne(
            list_packed(PART), lambda value: self.find_progress_fault(f"{ODD_ID}/0/0", value)
        )
        huge = f"{ODD_ID}/{'9' * 100}/0"
        values = [msgspec.msgpack.encode(PART)]
        self.assert_borne(values, lambda value: self.find_progress_fault(huge, value))

    def test_settled_owners(self) -> None:
        """Guards against a record with which a pool never opens, or after which none is."""
        self.assert_borne(
            [*list_packed((7,)), *list_packed([7])],
            lambda value: self.find_progress_fault("settled/press", value),
        )

    def test_orders_and_waves_of_the_last_steward(self) -> None:
        """Guards against a record with which no steward ever begins."""

        async def load(record: KeyedRecord) -> str:
            events = EventLog("n", lambda line: None)
            journal = cast(Journal, None)
            waves = WaveTracker(journal, journal, PLATFORM_RECORDS, events, 1.0)
            waves.load([record, make_wave_record(5, {"m-1"})])
            orders = MachineOrders(
                cast(Any, None), journal, waves, events, "n", 1, 1, 1, 1, lambda name: None
            )
            sound = make_orders_record({"m-1": OrderTarget("press")})
            orders.load((record, sound))
            waves.record_earlier_orders(["m-1"])
            numbers = [target.wave for target in orders._targets.values()]
            if max(map(abs, [*numbers, *waves._begun])) > BEARABLE_MAX:
                return "a huge number"
            return "" if waves.has_begun(5, "m-1") else "a sound record has no effect"

        waves = make_wave_record(7, {"m-2", "m-3"})
        orders = make_orders_record({"m-2": OrderTarget("press", 3), "m-3": OrderTarget("", 4)})
        for record in (waves, orders):
            plain = msgspec.msgpack.decode(record.value or b"")
            self.assert_borne(
                list_packed(plain),
                lambda value, key=record.key: load(KeyedRecord(key, value)),  # type: ignore[misc]
            )
