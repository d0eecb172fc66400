"""Reads to the end finish while the partition grows, and large records arrive over slow links.

A read that continued until no record is left would never return from a partition that grows as
fast as it is read.
"""

import asyncio
import contextlib
from collections.abc import Sequence
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.durable.errors import StoreNoAnswerError
from robinthread._internal.durable.keyed_follower import KeyedFollower
from robinthread._internal.durable.store import KeyedRecord, NewestPage, Partition, ReadPage
from robinthread._internal.standins.store_standin import StoreClient, StoreStandin
from robinthread._internal.telemetry.event_log import EventLog
from tests.lib.virtual import run_virtual

PARTITION = Partition("keyed.hosts")
# A store that is 60 times slower than usual, and a record that changes 60 times a second.
SLOW_RESPONSE_S = 0.24
GROWTH_PERIOD_S = 1 / 60
GROWS_FOR_S = 60.0
# A read of the snapshot and one of the records added meanwhile, plus a margin.
TO_END_MAX_S = 4 * SLOW_RESPONSE_S
# 5 Mbit/s, and the size of a configuration with 1,900 queues.
LINK_BYTES_PER_S = 625_000
LARGE = b"x" * 362_000
# A configuration must be in force within this time.
LARGE_READ_MAX_S = 3.0
OUTAGE_S = 10.0

# A page of the store holds 13 of these records; a store answers within some 10 ms.
BACKLOG_RECORDS = 100
BACKLOG_RECORD = b"x" * 10_000
BACKLOG_RESPONSE_S = 0.01
PERIOD_S = 0.35
# Between the acceptance of a draining entry and the last start on its host may be 2 s.
BACKLOG_READ_MAX_S = 1.0


async def grow(standin: StoreStandin) -> None:
    """Change one record repeatedly, for longer than any read may take."""
    for number in range(int(GROWS_FOR_S / GROWTH_PERIOD_S)):
        standin.put(PARTITION, "host", b"%d" % number)
        await asyncio.sleep(GROWTH_PERIOD_S)


def ignore(records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
    """Apply nothing."""


class FailingStore(StoreClient):
    """A client that loses the response to one page of a snapshot, or reads few records at once."""

    def __init__(
        self, standin: StoreStandin, failing_page: int = 0, page_max: int | None = None
    ) -> None:
        super().__init__(standin, "node")
        self._failing_page = failing_page
        self._page_max = page_max
        self._page_count = 0
        self.read_count = 0

    async def read_newest(
        self, partition: Partition, after_key: str, timeout_s: float
    ) -> NewestPage:
        self._page_count += 1
        if self._page_count == self._failing_page:
            raise StoreNoAnswerError("lost")
        return await super().read_newest(partition, after_key, timeout_s)

    async def read(
        self,
        partition: Partition,
        from_offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> ReadPage:
        self.read_count += 1
        page = await super().read(partition, from_offset, wait_s, timeout_s)
        records = page.records[: self._page_max]
        return replace(page, records=records, next_offset=from_offset + len(records))


class _FollowerRun:
    """A follower of a growing partition, and the records that it has applied."""

    def __init__(self) -> None:
        self.standin = StoreStandin()
        self.standin.faults.latency_s = SLOW_RESPONSE_S
        self.standin.put(PARTITION, "first", b"")
        self.applied: list[KeyedRecord] = []
        self.follower = KeyedFollower(
            self.standin.connect("node"),
            PARTITION,
            lambda records, is_snapshot: self.applied.extend(records),
            EventLog("node", write=lambda line: None),
        )

    async def read_to_end(self) -> float:
        """Read to the end; return the duration in seconds."""
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        await self.follower.read_to_end()
        return loop.time() - started_at_s


class ReadToEndTest(TestCase):
    def test_first_read_ends_while_the_partition_grows(self) -> None:
        async def work() -> None:
            run = _FollowerRun()
            growing = asyncio.create_task(grow(run.standin))
            self.assertLess(await run.read_to_end(), TO_END_MAX_S)
            growing.cancel()

        run_virtual(work())

    def test_later_read_ends_while_the_partition_grows(self) -> None:
        async def work() -> None:
            run = _FollowerRun()
            await run.read_to_end()
            growing = asyncio.create_task(grow(run.standin))
            await asyncio.sleep(1)
            self.assertLess(await run.read_to_end(), TO_END_MAX_S)
            growing.cancel()

        run_virtual(work())

    def test_all_records_that_exist_at_the_call_are_read(self) -> None:
        async def work() -> None:
            run = _FollowerRun()
            await run.read_to_end()
            growing = asyncio.create_task(grow(run.standin))
            for _round in range(5):
                await asyncio.sleep(1)
                run.standin.put(PARTITION, "wanted", b"%d" % _round)
                offset = run.standin.get_log(PARTITION).end - 1
                await run.read_to_end()
                self.assertIn(offset, [record.offset for record in run.applied])
            growing.cancel()

        run_virtual(work())

    def test_all_records_are_read_if_the_follower_is_paused_meanwhile(self) -> None:
        async def work() -> None:
            run = _FollowerRun()
            await run.read_to_end()
            run.standin.put(PARTITION, "wanted", b"")
            task = asyncio.create_task(run.read_to_end())
            await asyncio.sleep(SLOW_RESPONSE_S / 2)
            run.follower.pause()
            await task
            self.assertIn("wanted", [record.key for record in run.applied])

        run_virtual(work())


class LargeRecordTest(TestCase):
    def test_large_record_is_read_over_a_slow_link_after_fast_calls(self) -> None:
        async def work() -> None:
            standin = StoreStandin()
            standin.put(PARTITION, "first", b"")
            standin.link_bytes_per_s["node"] = LINK_BYTES_PER_S
            applied: list[str] = []
            follower = KeyedFollower(
                standin.connect("node"),
                PARTITION,
                lambda records, is_snapshot: applied.extend(record.key for record in records),
                EventLog("node", write=lambda line: None),
            )
            following = asyncio.create_task(follower.run())
            await asyncio.sleep(1)
            standin.put(PARTITION, "large", LARGE)
            await asyncio.sleep(LARGE_READ_MAX_S)
            self.assertEqual(["first", "large"], applied)
            following.cancel()

        run_virtual(work())


class ConfirmationTest(TestCase):
    """The age of what a follower knows, by which its owner decides whether to act on it."""

    def test_snapshot_that_is_resumed_is_as_old_as_its_first_page(self) -> None:
        """Guards against records from before an outage that count as read after it."""

        async def work() -> None:
            standin = StoreStandin()
            for number in range(1200):
                standin.put(PARTITION, f"{number:05}", b"")
            store = FailingStore(standin, failing_page=2)
            follower = KeyedFollower(store, PARTITION, ignore, EventLog("node", lambda line: None))
            loop = asyncio.get_running_loop()
            with contextlib.suppress(StoreNoAnswerError):
                await follower.read_to_end()
            failed_at_s = loop.time()
            await asyncio.sleep(OUTAGE_S)
            await follower._follow_once(0)
            self.assertEqual(0, follower.next_offset and 1200 - follower.next_offset)
            self.assertLessEqual(follower.confirmed_at_s, failed_at_s)
            await follower.read_to_end()
            self.assertGreaterEqual(follower.confirmed_at_s, failed_at_s + OUTAGE_S)

        run_virtual(work())

    def test_page_that_does_not_reach_the_end_confirms_nothing(self) -> None:
        """Guards against a follower that lags behind and counts as up to date."""

        async def work() -> None:
            standin = StoreStandin()
            standin.put(PARTITION, "first", b"")
            store = FailingStore(standin, page_max=1)
            follower = KeyedFollower(store, PARTITION, ignore, EventLog("node", lambda line: None))
            await follower.read_to_end()
            confirmed_at_s = follower.confirmed_at_s
            await asyncio.sleep(OUTAGE_S)
            for number in range(3):
                standin.put(PARTITION, f"{number}", b"")
            await follower._follow_once(0)
            self.assertEqual(confirmed_at_s, follower.confirmed_at_s)
            await follower.read_to_end()
            self.assertGreaterEqual(follower.confirmed_at_s, confirmed_at_s + OUTAGE_S)

        run_virtual(work())


class LongBacklogTest(TestCase):
    """Followers paused for their period after each page of a backlog of many pages."""

    def test_backlog_of_many_pages_is_read_without_pauses(self) -> None:
        self.assertLess(run_virtual(self._follow_backlog()), BACKLOG_READ_MAX_S)

    async def _follow_backlog(self) -> float:
        """Return how long a backlog took to be read."""
        standin, applied = StoreStandin(), list[KeyedRecord]()
        standin.faults.latency_s = BACKLOG_RESPONSE_S
        follower = KeyedFollower(
            standin.connect("node"),
            PARTITION,
            lambda records, is_snapshot: applied.extend(records),
            EventLog("node", write=lambda line: None),
            PERIOD_S,
        )
        following = asyncio.create_task(follower.run())
        await asyncio.sleep(1)
        for number in range(BACKLOG_RECORDS):
            standin.put(PARTITION, f"host-{number}", BACKLOG_RECORD)
        put_at_s = asyncio.get_running_loop().time()
        while len(applied) < BACKLOG_RECORDS:
            await asyncio.sleep(0.01)
        following.cancel()
        return asyncio.get_running_loop().time() - put_at_s

    def test_replica_that_lags_is_not_read_without_a_pause(self) -> None:
        """Guards against a node that does nothing but read pages without records."""

        async def work() -> None:
            standin = StoreStandin()
            standin.put(PARTITION, "first", b"")
            store = FailingStore(standin, page_max=0)
            follower = KeyedFollower(
                store, PARTITION, ignore, EventLog("node", lambda line: None), PERIOD_S
            )
            await follower._follow_once(0)
            standin.put(PARTITION, "second", b"")
            following = asyncio.create_task(follower.run())
            await asyncio.sleep(OUTAGE_S)
            following.cancel()
            self.assertLessEqual(store.read_count, OUTAGE_S / PERIOD_S + 1)

        run_virtual(work())
