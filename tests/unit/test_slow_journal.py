"""What a journal tells of the store's pace."""

import asyncio

from testtools import TestCase

from robinthread._internal.durable.append_pace import SLOW_KEPT_S
from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.standins.store_standin import StoreStandin
from robinthread._internal.telemetry.event_log import EventLog
from tests.lib.virtual import run_virtual

RECORD = KeyedRecord("k", b"v")


class SlowJournalTest(TestCase):
    def test_store_is_slow_while_an_append_takes_long_and_for_a_while_after(self) -> None:
        async def work() -> None:
            store = StoreStandin()
            journal = Journal(
                store.connect("n"), Partition("keyed.x"), "w", 1, EventLog("n", print)
            )
            await journal.write([RECORD])
            self.assertFalse(journal.is_slow)
            store.faults.latency_s = 0.3
            writing = asyncio.ensure_future(journal.write([RECORD]))
            await asyncio.sleep(0.05)
            self.assertFalse(journal.is_slow)
            await asyncio.sleep(0.1)
            self.assertTrue(journal.is_slow)
            await writing
            store.faults.latency_s = 0.01
            await journal.write([RECORD])
            self.assertTrue(journal.is_slow)
            await asyncio.sleep(SLOW_KEPT_S)
            self.assertFalse(journal.is_slow)

        run_virtual(work())
