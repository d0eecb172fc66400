"""Which earlier owners may still be running."""

import asyncio

import msgspec
from testtools import TestCase

from robinthread._internal.durable.ownership import Member, OwnerRecord, OwnerTable
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.standins.store_standin import StoreStandin
from robinthread._internal.telemetry.event_log import EventLog
from tests.lib.virtual import run_virtual

A, B, C = (Member(name, "life", name) for name in "abc")


class OwnerTableTest(TestCase):
    def test_owner_that_was_replaced_counts_beyond_the_next_one(self) -> None:
        async def work() -> None:
            table = OwnerTable(StoreStandin().connect("n"), EventLog("n", lambda line: None))

            def record(offset: int, member: Member, is_released: bool = False) -> None:
                value = msgspec.msgpack.encode(OwnerRecord(member, is_released))
                table._apply([KeyedRecord("press", value, offset)], False)

            record(0, A)
            await asyncio.sleep(1)
            record(1, B)
            self.assertEqual({}, table.earlier_lost_at_s)
            await asyncio.sleep(1)
            record(2, B, is_released=True)
            record(3, C)
            self.assertTrue(table.previous["press"].is_released)
            self.assertEqual(1.0, table.earlier_lost_at_s["press"])

        run_virtual(work())
