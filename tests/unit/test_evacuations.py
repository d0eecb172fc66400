"""Requests to evacuate a hall: the newest is in force, in whatever order records arrive."""

import asyncio
import itertools
import json
from collections.abc import Sequence

from testtools import TestCase

from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.node.evacuations import EvacuationHolder
from robinthread._internal.platform.platform_records import PLATFORM_RECORDS
from robinthread._internal.telemetry.event_log import EventLog


def _request(hall: str, offset: int, value: bytes = b"{}") -> KeyedRecord:
    return KeyedRecord(f"evacuate/{hall}", value, offset)


def _withdrawal(hall: str, offset: int) -> KeyedRecord:
    return KeyedRecord(f"evacuate/{hall}", None, offset)


class EvacuationsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[bytes] = []
        self.holder = EvacuationHolder(
            PLATFORM_RECORDS, EventLog("node", write=self.lines.append), ["a", "b"]
        )

    def apply(self, *records: KeyedRecord, is_snapshot: bool = False) -> frozenset[str]:
        async def apply_all() -> None:
            self.holder.apply(records, is_snapshot)

        asyncio.run(apply_all())
        return self.holder.halls

    def apply_one_by_one(self, records: Sequence[KeyedRecord]) -> frozenset[str]:
        for record in records:
            self.apply(record)
        return self.holder.halls

    def list_events(self) -> list[str]:
        return [json.loads(line)["event"] for line in self.lines]

    def test_a_withdrawal_in_the_tail_ends_the_evacuation(self) -> None:
        self.assertEqual({"a", "b"}, self.apply(_request("a", 3), _request("b", 4)))
        self.assertEqual({"b"}, self.apply(_withdrawal("a", 5)))
        self.assertEqual(
            ["evacuation_requested", "evacuation_requested", "evacuation_withdrawn"],
            self.list_events(),
        )

    def test_a_snapshot_without_the_key_ends_the_evacuation(self) -> None:
        # The withdrawal itself was compacted away before it was read.
        self.apply(_request("a", 3), _request("b", 4))
        config = KeyedRecord("config", b"{}", 9)
        self.assertEqual({"b"}, self.apply(config, _request("b", 4), is_snapshot=True))
        self.assertEqual({"b"}, self.apply(_request("a", 3)))

    def test_a_request_written_during_a_snapshot_is_applied_afterwards(self) -> None:
        # The withdrawal at 5 was compacted away.  The first page ended at 6; the request at 6 and
        # the configuration at 9 were written before the later page, and are read again after it.
        self.apply(_request("a", 3))
        config = KeyedRecord("config", b"{}", 9)
        self.assertEqual(frozenset(), self.apply(config, is_snapshot=True))
        self.assertEqual({"a"}, self.apply(_request("a", 6), config))

    def test_records_read_again_after_a_snapshot_change_nothing(self) -> None:
        # The follower continues before the end of a snapshot whose pages are not of one moment.
        self.apply(_request("a", 8), is_snapshot=True)
        self.assertEqual({"a"}, self.apply(_request("a", 6), _withdrawal("a", 7), _request("a", 8)))
        self.assertEqual(["evacuation_requested"], self.list_events())

    def test_the_newest_record_holds_in_any_order(self) -> None:
        records = (_request("a", 1), _withdrawal("a", 2), _request("a", 3))
        for order in itertools.permutations(records):
            self.holder = EvacuationHolder(PLATFORM_RECORDS, EventLog("node", write=lambda _: None))
            self.assertEqual({"a"}, self.apply_one_by_one(order))

    def test_request_withdrawal_and_request_at_once(self) -> None:
        records = (_request("a", 1), _withdrawal("a", 2), _request("a", 3))
        self.assertEqual({"a"}, self.apply(*records))

    def test_a_malformed_value_changes_nothing(self) -> None:
        for value in (b"", b"7", b"[]", b"\xff"):
            self.assertEqual(frozenset(), self.apply(_request("a", 1, value)))
        self.apply(_request("a", 2))
        self.assertEqual({"a"}, self.apply(_request("a", 3, b"nothing")))
        self.assertEqual({"a"}, self.apply(_request("a", 3, b"nothing"), is_snapshot=True))
        # The same value at the same offset, read again in a snapshot, is told once.
        self.assertEqual(5, self.list_events().count("record_malformed"))

    def test_a_hall_that_the_settings_do_not_name_is_kept(self) -> None:
        self.assertEqual({"c"}, self.apply(_request("c", 1)))
        self.assertFalse(json.loads(self.lines[0])["is_known"])

    def test_other_records_are_ignored(self) -> None:
        records = (KeyedRecord("config", b"{}", 1), KeyedRecord("evacuate/", b"{}", 2))
        self.assertEqual(frozenset(), self.apply(*records))

    def test_listeners_hear_changes_only(self) -> None:
        calls: list[frozenset[str]] = []
        self.holder.subscribe(lambda: calls.append(self.holder.halls))
        self.apply(_request("a", 1))
        self.apply(_request("a", 2))
        self.apply(_withdrawal("a", 3))
        self.assertEqual([frozenset({"a"}), frozenset()], calls)
