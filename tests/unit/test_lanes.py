"""The inbox writer while the store is slow: batches under way, records not sent, repeats."""

import asyncio

from testtools import TestCase

from robinthread._internal.durable.errors import StoreNoAnswerError, StoreRefusedError
from robinthread._internal.durable.group_writer import LANES, GroupWriter
from robinthread._internal.durable.inbox_records import INBOX_PARTITION
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.standins.node_settings_standin import STORE_LIMITS
from robinthread._internal.standins.store_standin import StoreStandin
from tests.lib.virtual import run_virtual

CALLER_S = 2.9
HELD_MAX_S = 0.75


class Writing:
    """A writer on a stand-in of the store, which may be told that the store is slow."""

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.is_slow = True
        self.is_silent = False
        self.writer = GroupWriter(
            self.store.connect("n"),
            INBOX_PARTITION,
            "w",
            STORE_LIMITS.record_limits,
            is_store_slow=lambda: self.is_slow,
            is_store_silent=lambda: self.is_silent,
        )
        self.running = asyncio.ensure_future(self.writer.run())

    async def write(self, number: int, left_s: float = CALLER_S) -> tuple[str, float]:
        """Write a record; return how that ended, and after how many seconds."""
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        try:
            await self.writer.write(KeyedRecord(f"j/{number}/1", b"v"), began_at_s + left_s)
            outcome = "done"
        except StoreRefusedError:
            outcome = "refused"
        except StoreNoAnswerError:
            outcome = "unknown"
        return outcome, loop.time() - began_at_s

    def list_writers(self) -> list[str]:
        """Return the names under which batches arrived."""
        return sorted(self.store.get_log(INBOX_PARTITION).writers)


class LanesTest(TestCase):
    def test_next_batch_is_sent_before_the_response_to_the_last_one(self) -> None:
        async def work() -> None:
            writing = Writing()
            writing.store.faults.latency_s = 0.7
            first = asyncio.ensure_future(writing.write(1))
            await asyncio.sleep(0.01)
            outcome, took_s = await writing.write(2)
            self.assertEqual("done", outcome)
            self.assertLess(took_s, 1.1)
            self.assertEqual("done", (await first)[0])
            self.assertEqual(["w", "w/1"], writing.list_writers())
            writing.running.cancel()

        run_virtual(work())

    def test_batches_are_sent_one_by_one_while_the_store_is_fast(self) -> None:
        async def work() -> None:
            writing = Writing()
            writing.is_slow = False
            for start in range(0, 40, 4):
                numbers = range(start, start + 4)
                await asyncio.gather(*map(writing.write, numbers))
            self.assertEqual(["w"], writing.list_writers())
            writing.running.cancel()

        run_virtual(work())

    def test_record_that_cannot_be_sent_in_time_is_refused_at_once_and_not_stored(self) -> None:
        async def work() -> None:
            writing = Writing()
            writing.store.faults.latency_s = 1.7
            sent = []
            for number in range(LANES):
                sent.append(asyncio.ensure_future(writing.write(number)))
                await asyncio.sleep(0.31)
            self.assertEqual(("refused", 0.0), await writing.write(LANES, left_s=1.6))
            await asyncio.gather(*sent)
            await asyncio.sleep(10)
            self.assertNotIn(f"j/{LANES}/1", writing.store.list_keys(INBOX_PARTITION.topic))
            writing.running.cancel()

        run_virtual(work())

    def test_record_behind_an_append_that_turns_slow_is_refused_after_a_quarter(self) -> None:
        async def work() -> None:
            writing = Writing()
            writing.is_slow = False
            writing.store.append_turns.append_duration_s = 1.0
            sent = asyncio.ensure_future(writing.write(1))
            await asyncio.sleep(0.01)
            outcome, took_s = await writing.write(2)
            self.assertEqual("refused", outcome)
            self.assertLess(took_s, HELD_MAX_S)
            self.assertEqual("done", (await sent)[0])
            await asyncio.sleep(2)
            self.assertNotIn("j/2/1", writing.store.list_keys(INBOX_PARTITION.topic))
            writing.running.cancel()

        run_virtual(work())

    def test_record_that_was_sent_is_unknown_at_its_deadline_and_not_refused(self) -> None:
        async def work() -> None:
            writing = Writing()
            writing.store.append_turns.append_duration_s = 1.5
            outcome, took_s = await writing.write(1, left_s=1.0)
            self.assertEqual("unknown", outcome)
            self.assertAlmostEqual(1.0, took_s, delta=0.01)
            await asyncio.sleep(1)
            self.assertIn("j/1/1", writing.store.list_keys(INBOX_PARTITION.topic))
            writing.running.cancel()

        run_virtual(work())

    def test_slow_append_is_not_repeated(self) -> None:
        """Each repeat takes another turn at the partition, which doubles the work."""

        async def work() -> None:
            writing = Writing()
            writing.store.adapts_timeouts = True
            writing.store.append_turns.append_duration_s = 1.0
            self.assertEqual("done", (await writing.write(1))[0])
            self.assertEqual(1, writing.store.append_turns.counts[INBOX_PARTITION.topic])
            writing.running.cancel()

        run_virtual(work())

    def test_records_not_sent_are_refused_once_the_store_is_silent(self) -> None:
        async def work() -> None:
            writing = Writing()
            writing.store.faults.silent.add("n")
            sent = asyncio.ensure_future(writing.write(1))
            await asyncio.sleep(0.01)
            waiting = asyncio.ensure_future(writing.write(2))
            await asyncio.sleep(0.01)
            writing.is_slow, writing.is_silent = False, True
            outcome, took_s = await waiting
            self.assertEqual("refused", outcome)
            self.assertLess(took_s, 0.1)
            self.assertEqual("unknown", (await sent)[0])
            writing.running.cancel()

        run_virtual(work())

    def test_record_of_a_caller_without_time_is_still_sent_while_the_store_is_fast(self) -> None:
        async def work() -> None:
            writing = Writing()
            writing.is_slow = False
            self.assertEqual("done", (await writing.write(1, left_s=0.0))[0])
            writing.running.cancel()

        run_virtual(work())
