"""Which earlier owners may still be running."""

import asyncio

import msgspec
from testtools import TestCase

from robinthread._internal.durable.ownership import (
    EARLIER_OWNERS_MAX,
    OWNERS_PARTITION,
    UNRELEASED_RETENTION_S,
    EarlierOwner,
    Member,
    OwnerRecord,
    OwnerTable,
    UnreleasedOwner,
)
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.standins.store_standin import StoreStandin
from robinthread._internal.telemetry.event_log import EventLog
from tests.lib.virtual import run_virtual

A, B, C = (Member(name, "life", name) for name in "abc")


class _FormerRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of an owner without those before it."""

    owner: Member
    is_released: bool = False
    is_stopping: bool = False


async def make_table(standin: StoreStandin) -> OwnerTable:
    """Make a table that has read the newest records only."""
    table = OwnerTable(standin.connect("n"), EventLog("n", lambda line: None))
    await table.follower.read_to_end()
    return table


def read_earlier(standin: StoreStandin) -> list[Member]:
    """Return the earlier owners that the newest record names."""
    value = standin.get_newest(OWNERS_PARTITION)["press"]
    record = msgspec.msgpack.decode(value, type=OwnerRecord)
    return [earlier.owner for earlier in record.earlier]


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
            self.assertEqual((UnreleasedOwner(A, 1, 1.0),), table.unreleased["press"])
            await asyncio.sleep(1)
            record(2, B, is_released=True)
            record(3, C)
            self.assertTrue(table.previous["press"].is_released)
            self.assertEqual((UnreleasedOwner(A, 1, 1.0),), table.unreleased["press"])

        run_virtual(work())

    def test_all_that_were_replaced_of_late_are_kept_in_mind(self) -> None:
        async def work() -> None:
            table = OwnerTable(StoreStandin().connect("n"), EventLog("n", lambda line: None))
            for offset, member in enumerate((A, B, C)):
                value = msgspec.msgpack.encode(OwnerRecord(member))
                table._apply([KeyedRecord("press", value, offset)], False)
                await asyncio.sleep(1)
            self.assertEqual([A, B], [lost.owner for lost in table.unreleased["press"]])
            await asyncio.sleep(UNRELEASED_RETENTION_S)
            value = msgspec.msgpack.encode(OwnerRecord(A))
            table._apply([KeyedRecord("press", value, 3)], False)
            self.assertEqual([C], [lost.owner for lost in table.unreleased["press"]])

        run_virtual(work())


class EarlierOwnersTest(TestCase):
    def test_newest_record_tells_of_all_that_may_be_running(self) -> None:
        async def work() -> None:
            standin = StoreStandin()
            await (await make_table(standin)).acquire("press", A)
            await (await make_table(standin)).acquire("press", B)
            await asyncio.sleep(1)
            late = await make_table(standin)
            (lost,) = late.unreleased["press"]
            self.assertEqual((A, 1), (lost.owner, lost.token))
            self.assertGreater(lost.replaced_at_s, 1.0)
            await late.acquire("press", C)
            self.assertEqual([A, B], [lost.owner for lost in late.unreleased["press"]])
            self.assertEqual([A, B], read_earlier(standin))

        run_virtual(work())

    def test_owner_that_gives_back_tells_of_those_before_it(self) -> None:
        async def work() -> None:
            standin = StoreStandin()
            await (await make_table(standin)).acquire("press", A)
            second = await make_table(standin)
            await second.acquire("press", B)
            await second.release(["press"], B, is_stopping=True)
            self.assertEqual([A], read_earlier(standin))
            await (await make_table(standin)).acquire("press", C)
            self.assertEqual([A], read_earlier(standin))

        run_virtual(work())

    def test_owners_that_gave_back_or_stopped_are_not_told_of(self) -> None:
        async def work() -> None:
            standin = StoreStandin()
            table = await make_table(standin)
            await table.acquire("press", A)
            await table.release(["press"], A, is_stopping=False)
            await table.acquire("press", B)
            self.assertEqual([], read_earlier(standin))
            await table.take_over({"press": table.owners["press"].token}, C)
            self.assertEqual([], read_earlier(standin))
            await table.release(["press"], C, is_stopping=True)
            self.assertEqual([], read_earlier(standin))

        run_virtual(work())

    def test_former_lives_are_not_told_of(self) -> None:
        async def work() -> None:
            standin = StoreStandin()
            table = await make_table(standin)
            await table.acquire("press", A)
            for number in range(2 * EARLIER_OWNERS_MAX):
                await table.acquire("press", Member("b", f"life{number}", "b"))
            self.assertEqual([A], read_earlier(standin))
            await table.acquire("press", C)
            last = Member("b", f"life{number}", "b")
            self.assertEqual([A, last], read_earlier(standin))

        run_virtual(work())

    def test_a_record_names_a_few_for_a_while(self) -> None:
        async def work() -> None:
            standin = StoreStandin()
            table = await make_table(standin)
            members = [Member(str(number), "life", "n") for number in range(EARLIER_OWNERS_MAX + 3)]
            for member in members:
                await table.acquire("press", member)
            self.assertEqual(members[2:-1], read_earlier(standin))
            await asyncio.sleep(UNRELEASED_RETENTION_S)
            await table.acquire("press", A)
            self.assertEqual([members[-1]], read_earlier(standin))

        run_virtual(work())

    def test_records_without_earlier_owners_are_read_and_read_those_with(self) -> None:
        former = msgspec.msgpack.encode(_FormerRecord(A, True))
        self.assertEqual(OwnerRecord(A, True), msgspec.msgpack.decode(former, type=OwnerRecord))
        record = msgspec.msgpack.encode(OwnerRecord(B, earlier=(EarlierOwner(A, 1),)))
        self.assertEqual(_FormerRecord(B), msgspec.msgpack.decode(record, type=_FormerRecord))
