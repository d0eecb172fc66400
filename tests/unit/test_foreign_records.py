"""Malformed records of other writers: each decoder returns a value or raises a typed error."""

import asyncio
import base64
import json
from collections.abc import Callable
from typing import Any

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from robinthread._internal.durable.inbox_records import parse_inbox_record
from robinthread._internal.durable.job_index import JobIndex
from robinthread._internal.durable.order_records import ORDERS_PARTITION, parse_orders_record
from robinthread._internal.durable.ownership import OWNERS_PARTITION, Member, OwnerTable
from robinthread._internal.durable.settled_record import parse_settled_record
from robinthread._internal.durable.share_meter import ShareMeter
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.durable.wave_records import WAVES_PARTITION, parse_wave_record
from robinthread._internal.jobs.progress import JobProgress, decode_progress
from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.node.group_member import GROUP, get_topic
from robinthread._internal.node.host_directory import MISSING_GRACE_S, HostDirectory
from robinthread._internal.platform.platform_records import (
    PLATFORM_RECORDS,
    parse_config,
    parse_evacuation,
    parse_host,
    parse_wave,
)
from robinthread._internal.platform.store_records import decode_item, decode_record
from robinthread._internal.standins.platform_standin import HOSTS, OPERATORS
from robinthread._internal.telemetry.event_log import EventLog
from tests.lib.job_platforms import (
    get_others,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
)
from tests.lib.virtual import run_virtual

HOST: dict[str, Any] = {
    "service": "press",
    "address": "10.0.0.9:8080",
    "zone": "hall-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "sequence": 4,
    "machine": "m-1",
}
REQUIRED = ("service", "address", "zone", "version", "slots", "state", "sequence")
OTHER_TYPES: tuple[Any, ...] = (None, 7.5, [], {}, True, -1, "")
NOT_START_TIMES: tuple[Any, ...] = (
    *OTHER_TYPES,
    "1777007541075",
    1777007541075.0,
    1e3,
    2**63,
    10**30,
)
NESTED = b"[" * 20_000
MALFORMED_VALUES = (b"", b"\xff\xfe\x00", b"null", b"[]", b"7", b'"text"', NESTED, b"\x00" * 70_000)
PARSERS: dict[str, Callable[[str, bytes], object]] = {
    "host": parse_host,
    "configuration": lambda key, value: parse_config(value),
    "evacuation": lambda key, value: parse_evacuation(value),
    "wave": lambda key, value: parse_wave(value),
    "inbox": lambda key, value: parse_inbox_record(KeyedRecord(key, value)),
    "progress": lambda key, value: decode_progress(value),
    "settled": lambda key, value: parse_settled_record(KeyedRecord(key, value)),
    "orders": lambda key, value: parse_orders_record(KeyedRecord(key, value)),
    "wave progress": lambda key, value: parse_wave_record(KeyedRecord(key, value)),
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from([*HOST, "routes", "wave", "machines", "x"]), inner)
    ),
    max_leaves=12,
)
VALUES = (
    st.binary(max_size=60)
    | JSON.map(lambda value: json.dumps(value).encode())
    | JSON.map(lambda value: msgspec.msgpack.encode(value, enc_hook=str) if _fits(value) else b"")
)


def _fits(value: Any) -> bool:
    try:
        msgspec.msgpack.encode(value)
    except (OverflowError, ValueError, UnicodeEncodeError):
        return False
    return True


def _is_host(entry: dict[str, Any]) -> bool:
    try:
        parse_host("i-1", json.dumps(entry).encode())
    except msgspec.MsgspecError:
        return False
    return True


def _make_events(lines: list[bytes]) -> EventLog:
    return EventLog("n", lines.append)


class HostEntriesTest(TestCase):
    def test_record_with_all_required_fields_is_a_host_despite_unknown_fields(self) -> None:
        self.assertTrue(_is_host(HOST))
        self.assertTrue(_is_host(HOST | {"state": "draining", "remaining_ms": 800, "x": [1, {}]}))

    def test_record_with_a_missing_field_is_no_host(self) -> None:
        missing = {name: {k: v for k, v in HOST.items() if k != name} for name in REQUIRED}
        self.assertEqual([], [name for name, entry in missing.items() if _is_host(entry)])

    def test_record_with_a_field_of_wrong_type_or_value_is_no_host(self) -> None:
        accepted = [
            (name, value)
            for name in (*REQUIRED, "capacity")
            for value in OTHER_TYPES
            if not (name == "version" and value == "")
            if not (name == "capacity" and value == {})
            if _is_host(HOST | {name: value})
        ]
        self.assertEqual([], accepted)
        for state in ("starting", "READY", "gone"):
            self.assertFalse(_is_host(HOST | {"state": state}))
        for address in ("nowhere", ":80", "a:b", "10.0.0.9:8080/x", "u@h:80", "h:123456"):
            self.assertFalse(_is_host(HOST | {"address": address}))

    def test_start_time_is_an_integer_or_absent(self) -> None:
        self.assertIsNone(parse_host("i-1", json.dumps(HOST).encode()).host_started_at_ms)
        for start_ms in (0, 1_777_007_541_075, 2**63 - 1):
            entry = json.dumps(HOST | {"born": start_ms}).encode()
            self.assertEqual(start_ms, parse_host("i-1", entry).host_started_at_ms)
        accepted = [start for start in NOT_START_TIMES if _is_host(HOST | {"born": start})]
        self.assertEqual([], accepted)

    def test_malformed_record_removes_only_the_host_under_its_key(self) -> None:
        async def work() -> None:
            lines: list[bytes] = []
            directory = HostDirectory(parse_host, _make_events(lines))
            good = json.dumps(HOST).encode()
            directory.apply([KeyedRecord(f"i-{number}", good, number) for number in (1, 2)], True)
            directory.apply([KeyedRecord("i-1", b"{}", 3)], False)
            await asyncio.sleep(MISSING_GRACE_S + 0.1)
            self.assertEqual({"i-2"}, set(directory.hosts))
            directory.apply([KeyedRecord("i-1", good, 4)], False)
            self.assertEqual({"i-1", "i-2"}, set(directory.hosts))
            self.assertEqual(1, sum(b"record_malformed" in line for line in lines))

        run_virtual(work())


class RecordsTest(TestCase):
    def test_malformed_record_raises_a_typed_error(self) -> None:
        accepted = []
        for name, parse in PARSERS.items():
            for value in MALFORMED_VALUES:
                try:
                    parse("j/1", value)
                except msgspec.MsgspecError:
                    continue
                accepted.append((name, value[:8]))
        self.assertEqual([], accepted)

    def test_invalid_job_spec_has_a_fault(self) -> None:
        step = StepSpec(2)
        invalid = (
            (),
            (StepSpec(0),),
            (StepSpec(-1),),
            (StepSpec(10**9),),
            (StepSpec(1, cpu_millicores=-1),),
            (step, StepSpec(1, after_steps=(1,))),
            (step, StepSpec(1, after_steps=(7,))),
            (step, StepSpec(1, after_steps=(-1,))),
        )
        for steps in invalid:
            self.assertTrue(JobSpec("1", "q", "p", "", steps).find_fault())
        self.assertEqual(
            "", JobSpec("1", "q", "p", "", (step, StepSpec(1, after_steps=(0,)))).find_fault()
        )

    def test_job_index_applies_the_valid_records(self) -> None:
        lines: list[bytes] = []
        index = JobIndex(_make_events(lines), ShareMeter(lambda workspace: 0.0))
        spec = make_job(7)
        good = msgspec.msgpack.encode(spec)
        other = msgspec.msgpack.encode(make_job(8))
        keys = ("", "x", "j/", "c/", "j/other/1", f"j/{spec.job_id}/1")
        values = (None, b"", b"\xc1", other, good)
        records = [KeyedRecord(key, value, 1) for key in keys for value in values]
        index.apply(records, False)
        self.assertEqual([spec.job_id], list(index.jobs))
        self.assertTrue(lines)

    def test_progress_with_references_that_it_does_not_list_is_malformed(self) -> None:
        good = JobProgress("1", "q", JobStatus.RUNNING.value, ("h",), ())
        self.assertEqual(good, decode_progress(msgspec.msgpack.encode(good)))
        row = (0, 0, 0, False, 1, 0, ((1, 1),))
        for wrong in (("1", "q", "flying"), ("1", "q", "running", ("h",), (row,))):
            self.assertRaises(
                msgspec.ValidationError, decode_progress, msgspec.msgpack.encode(wrong)
            )

    def test_record_with_an_undecodable_key_is_skipped(self) -> None:
        self.assertEqual(KeyedRecord("ab", b"c", 3), decode_record(b"\x02abc", 3))
        self.assertEqual(KeyedRecord("ab", None, 3), decode_record(b"\x02ab", 3))
        for record in (b"", b"\x05ab", b"\x02\xff\xfec"):
            self.assertIsNone(decode_record(record, 3))
        item = {"tls_key": "k", "value": base64.b64encode(b"v").decode(), "offset": 4}
        self.assertEqual(
            KeyedRecord("k", b"v", 4), decode_item(msgspec.Raw(json.dumps(item).encode()))
        )
        for wrong in ({"value": "!"}, {"tls_key": 7}, {"offset": "x"}, {"tls_key": None}):
            raw = msgspec.Raw(json.dumps(item | wrong).encode())
            self.assertIsNone(decode_item(raw))


class FuzzedDecodersTest(TestCase):
    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @given(key=st.text(max_size=12) | st.sampled_from(["j/1/2", "c/1"]), value=VALUES)
    @example(key="j/1/2", value=NESTED)
    def test_each_decoder_returns_a_value_or_raises_a_typed_error(
        self, key: str, value: bytes
    ) -> None:
        for parse in PARSERS.values():
            try:
                parse(key, value)
            except msgspec.MsgspecError:
                continue

    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @given(value=VALUES)
    def test_stored_records_are_decoded_or_skipped(self, value: bytes) -> None:
        decode_record(value, 0)
        decode_item(msgspec.Raw(value))

    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @given(name=st.sampled_from(list(HOST)), value=JSON)
    def test_changed_host_record_is_decoded_or_rejected(self, name: str, value: Any) -> None:
        _is_host(HOST | {name: value})

    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @given(key=st.sampled_from(["config", "wave/1", "wave/", "x"]), value=VALUES)
    def test_configuration_holder_survives_any_record(self, key: str, value: bytes) -> None:
        holder = ConfigHolder(PLATFORM_RECORDS, _make_events([]))

        async def work() -> None:
            holder.apply([KeyedRecord(key, value, 1)], False)

        run_virtual(work())


class NodesTest(TestCase):
    def test_nodes_keep_serving_despite_malformed_records(self) -> None:
        """Every partition that a node reads has malformed records, also while it serves."""

        async def work() -> None:
            platform = await start_platform(reserve=3)
            names = [
                (HOSTS, "i-x"),
                (OPERATORS, "config"),
                (OPERATORS, "wave/9"),
                (OWNERS_PARTITION, "press"),
                (ORDERS_PARTITION, "recent"),
                (WAVES_PARTITION, "x"),
                (Partition("keyed.inbox"), "x"),
            ]
            for partition, key in names:
                for value in (b"\xc1", b"", b"\x93\x01\x02\x03"):
                    platform.store.put(partition, key, value)
            stranger = platform.store.connect("stranger")
            await stranger.join(GROUP, "not a member", [get_topic(0)], 60_000, 0)
            await asyncio.sleep(2)
            steward = next(
                name for name, node in platform.nodes.items() if node.assembled.node._steward
            )
            await hand_in(platform, get_others(platform)[0], make_job(1))
            await wait_for_status(platform, make_job(1).job_id, JobStatus.SUCCEEDED)
            # A new steward, and possibly a new owner, read these records.
            platform.kill_node(steward)
            await asyncio.sleep(5)
            await hand_in(platform, get_others(platform)[0], make_job(2))
            await wait_for_status(platform, make_job(2).job_id, JobStatus.SUCCEEDED)
            self.assertTrue(any(node.assembled.node._steward for node in platform.nodes.values()))
            self.assertEqual([], [line for line in platform.events if b"_failed" in line])

        run_virtual(work())

    def test_owner_table_survives_any_record(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            table = OwnerTable(platform.store.connect("x"), _make_events([]))
            member = msgspec.msgpack.encode((Member("n", "1", "a"),))
            values = (b"\xc1", b"", member, msgspec.msgpack.encode([1, 2]))
            table._apply([KeyedRecord("p", value, n) for n, value in enumerate(values)], False)
            self.assertEqual(["p"], list(table.owners))

        run_virtual(work())
