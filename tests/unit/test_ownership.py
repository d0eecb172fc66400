"""Which earlier owners may still be running."""

import asyncio

import msgspec
from testtools import TestCase

from robinthread._internal.durable.ownership import (
    LOST_KEPT_S,
    LostOwner,
    Member,
    OwnerRecord,
    OwnerTable,
)
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
            self.assertEqual((LostOwner(A, 1, 1.0),), table.lost["press"])
            await asyncio.sleep(1)
            record(2, B, is_released=True)
            record(3, C)
            self.assertTrue(table.previous["press"].is_released)
            self.assertEqual((LostOwner(A, 1, 1.0),), table.lost["press"])

        run_virtual(work())

    def test_all_that_were_replaced_of_late_are_kept_in_mind(self) -> None:
        async def work() -> None:
            table = OwnerTable(StoreStandin().connect("n"), EventLog("n", lambda line: None))
            for offset, member in enumerate((A, B, C)):
                value = msgspec.msgpack.encode(OwnerRecord(member))
                table._apply([KeyedRecord("press", value, offset)], False)
                await asyncio.sleep(1)
            self.assertEqual([A, B], [lost.owner for lost in table.lost["press"]])
            await asyncio.sleep(LOST_KEPT_S)
            value = msgspec.msgpack.encode(OwnerRecord(A))
            table._apply([KeyedRecord("press", value, 3)], False)
            self.assertEqual([C], [lost.owner for lost in table.lost["press"]])

        run_virtual(work())
