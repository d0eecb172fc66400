"""The inbox writer detects a slow store."""

import asyncio

from testtools import TestCase

from robinthread._internal.durable.append_latency import SLOW_HOLD_S
from robinthread._internal.durable.group_writer import GroupWriter
from robinthread._internal.durable.inbox_records import INBOX_PARTITION
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.standins.node_settings_standin import STORE_LIMITS
from robinthread._internal.standins.store_standin import StoreStandin
from tests.lib.virtual import run_virtual

RECORD = KeyedRecord("j/1/1", b"v")
FAR_S = 1000.0


class AppendLatencyTest(TestCase):
    def test_store_is_slow_while_an_append_takes_long_and_for_a_while_after(self) -> None:
        async def work() -> None:
            store = StoreStandin()
            writer = GroupWriter(
                store.connect("n"), INBOX_PARTITION, "w", STORE_LIMITS.record_limits
            )
            running = asyncio.ensure_future(writer.run())
            await writer.write(RECORD, FAR_S)
            self.assertFalse(writer.latency.is_slow)
            store.faults.latency_s = 0.3
            writing = asyncio.ensure_future(writer.write(RECORD, FAR_S))
            await asyncio.sleep(0.05)
            self.assertFalse(writer.latency.is_slow)
            await asyncio.sleep(0.1)
            self.assertTrue(writer.latency.is_slow)
            await writing
            store.faults.latency_s = 0.01
            await writer.write(RECORD, FAR_S)
            self.assertTrue(writer.latency.is_slow)
            await asyncio.sleep(SLOW_HOLD_S)
            self.assertFalse(writer.latency.is_slow)
            running.cancel()

        run_virtual(work())
