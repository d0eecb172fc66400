"""Reading a partition to the end while it grows as fast as it is read."""

import asyncio

from testtools import TestCase

from robinthread._internal.durable.keyed_follower import KeyedFollower
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.standins.store_standin import StoreStandin
from robinthread._internal.telemetry.event_log import EventLog
from tests.lib.virtual import run_virtual

PARTITION = Partition("keyed.hosts")
# A store that is 60 times slower than usual, and entries that change 60 times a second.
SLOW_ANSWER_S = 0.24
GROWTH_PERIOD_S = 1 / 60
GROWS_FOR_S = 60.0
# One read of the newest records and one of what came meanwhile, and some to spare.
TO_END_MAX_S = 4 * SLOW_ANSWER_S
# 5 Mbit/s, and a configuration of 1,900 queues.
LINK_BYTES_PER_S = 625_000
LARGE = b"x" * 362_000
# A configuration is to be in force by then.
LARGE_READ_MAX_S = 3.0


async def grow(standin: StoreStandin) -> None:
    """Change one entry again and again, for longer than any reading may take."""
    for number in range(int(GROWS_FOR_S / GROWTH_PERIOD_S)):
        standin.put(PARTITION, "host", b"%d" % number)
        await asyncio.sleep(GROWTH_PERIOD_S)


class _Reading:
    """A follower of a partition that grows, and the records that it was given."""

    def __init__(self) -> None:
        self.standin = StoreStandin()
        self.standin.faults.latency_s = SLOW_ANSWER_S
        self.standin.put(PARTITION, "first", b"")
        self.taken: list[KeyedRecord] = []
        self.follower = KeyedFollower(
            self.standin.connect("node"),
            PARTITION,
            lambda records, is_snapshot: self.taken.extend(records),
            EventLog("node", write=lambda line: None),
        )

    async def read_to_end(self) -> float:
        """Read to the end; return how many seconds that took."""
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        await self.follower.read_to_end()
        return loop.time() - began_at_s


class ReadToEndTest(TestCase):
    def test_first_read_ends_while_the_partition_grows(self) -> None:
        async def work() -> None:
            reading = _Reading()
            growing = asyncio.create_task(grow(reading.standin))
            self.assertLess(await reading.read_to_end(), TO_END_MAX_S)
            growing.cancel()

        run_virtual(work())

    def test_later_read_ends_while_the_partition_grows(self) -> None:
        async def work() -> None:
            reading = _Reading()
            await reading.read_to_end()
            growing = asyncio.create_task(grow(reading.standin))
            await asyncio.sleep(1)
            self.assertLess(await reading.read_to_end(), TO_END_MAX_S)
            growing.cancel()

        run_virtual(work())

    def test_all_that_was_there_at_the_call_is_read(self) -> None:
        async def work() -> None:
            reading = _Reading()
            await reading.read_to_end()
            growing = asyncio.create_task(grow(reading.standin))
            for _round in range(5):
                await asyncio.sleep(1)
                reading.standin.put(PARTITION, "wanted", b"%d" % _round)
                offset = reading.standin.get_log(PARTITION).end - 1
                await reading.read_to_end()
                self.assertIn(offset, [record.offset for record in reading.taken])
            growing.cancel()

        run_virtual(work())

    def test_all_is_read_where_the_follower_is_paused_meanwhile(self) -> None:
        async def work() -> None:
            reading = _Reading()
            await reading.read_to_end()
            reading.standin.put(PARTITION, "wanted", b"")
            task = asyncio.create_task(reading.read_to_end())
            await asyncio.sleep(SLOW_ANSWER_S / 2)
            reading.follower.pause()
            await task
            self.assertIn("wanted", [record.key for record in reading.taken])

        run_virtual(work())


class LargeRecordTest(TestCase):
    def test_record_that_takes_longer_than_quick_calls_is_read_over_a_slow_link(self) -> None:
        async def work() -> None:
            standin = StoreStandin()
            standin.put(PARTITION, "first", b"")
            standin.link_bytes_per_s["node"] = LINK_BYTES_PER_S
            taken: list[str] = []
            follower = KeyedFollower(
                standin.connect("node"),
                PARTITION,
                lambda records, is_snapshot: taken.extend(record.key for record in records),
                EventLog("node", write=lambda line: None),
            )
            following = asyncio.create_task(follower.run())
            await asyncio.sleep(1)
            standin.put(PARTITION, "large", LARGE)
            await asyncio.sleep(LARGE_READ_MAX_S)
            self.assertEqual(["first", "large"], taken)
            following.cancel()

        run_virtual(work())
