"""Hostile entries of hosts and operators, through the store's client, follower and holder.

Guards against an entry that ends the follower, and so hides all later entries from the node.
"""

import asyncio
import ipaddress
import json
import math
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from hypothesis import given, settings
from testtools import TestCase

from robinthread._internal.durable.keyed_follower import ApplyFunction, KeyedFollower
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.node.evacuations import EvacuationHolder
from robinthread._internal.node.host_directory import MISSING_GRACE_S, HostDirectory
from robinthread._internal.platform.platform_records import PLATFORM_RECORDS, parse_host
from robinthread._internal.platform.store import PlatformStore
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from tests.lib.answering_fetcher import PagesOfRecords, make_answering_client
from tests.lib.hostile import FRAGMENTS, draw_hostile, list_hostile
from tests.lib.virtual import run_virtual

PARTITION = Partition("keyed.servers")
PERIOD_S = 0.05
# Several reads of the follower.
READ_S = 0.2
# Numbers above are not exact as floating-point numbers, which later arithmetic uses.
EXACT_MAX = 2**53
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
    "remaining_ms": 10,
    "born": 1_777_007_541_075,
}
CONFIG: dict[str, Any] = {
    "version": 2,
    "routes": [
        {
            "name": "sheets",
            "host": "press.example",
            "path_prefix": "/sheets/",
            "service": "press",
            "priority": 1,
            "attempts": 3,
            "stretch": 1.5,
            "target_latency_ms": 4000,
            "advice": {"decide_ms": 1, "per_item_ms": 2, "valid_ms": 300},
            "public": False,
        }
    ],
    "services": [
        {"name": "press", "max_conns": 5, "cold_start_s": 2.5, "cold_per_s": 1.5},
    ],
    "limits": {"max_body_bytes": 262144},
    "tenants": [
        {"name": "maps", "api_keys": ["a"], "weight": 4, "maximum": {"cpu": 1, "mem_mb": 2}}
    ],
}
WAVE: dict[str, Any] = {"wave": 7, "machines": ["m-1"], "duration_s": 30.5, "maximum": 2}
# Keys of entries, which go into headers of calls to their hosts.
ODD_KEYS = (
    b"i-1\r\nX-B: c",
    b"i-\x00",
    "i-\u20ac".encode(),
    b"i 1",
    b"\xff\xfe",
    b"i-sound@5",
    b"i" * 255,
)


def find_unbearable(host: UpstreamHost) -> list[str]:
    """Return what of an accepted host later calls, records and arithmetic do not bear."""
    ip, _, port = host.address.partition(":")
    try:
        is_address = bool(ipaddress.IPv4Address(ip)) and 0 < int(port) < 65536
    except ValueError:
        is_address = False
    sizes = (*host.capacity.astuple(), host.leaves_in_ms, host.host_started_at_ms or 0)
    checks = {
        f"address {host.address[:30]!r}": is_address and host.address == f"{ip}:{int(port or 0)}",
        f"id {host.id[:30]!r}": host.id.isascii() and host.id.isprintable(),
        "size": all(type(size) is int and 0 <= size < 2**63 for size in sizes),
        "capacity": max(host.capacity.astuple()) <= EXACT_MAX,
        "time": math.isfinite(host.cold_for_ms) and abs(host.cold_for_ms) <= EXACT_MAX,
    }
    return [name for name, is_right in checks.items() if not is_right]


class _Followed:
    """A partition that is followed through the store's client."""

    def __init__(self, make_apply: Callable[[EventLog], ApplyFunction]) -> None:
        self.lines: list[bytes] = []
        self.pages = PagesOfRecords()
        events = EventLog("n", self.lines.append)
        client = make_answering_client(self.pages.answer)
        store = PlatformStore(client, "store:1", NodeMetrics())
        self._follower = KeyedFollower(store, PARTITION, make_apply(events), events, PERIOD_S)
        self._task = asyncio.get_running_loop().create_task(self._follower.run())

    async def read(self) -> str:
        """Wait until all records are read; return how the follower ended, "" if it goes on."""
        await asyncio.sleep(READ_S)
        if not self._task.done():
            return ""
        return repr(self._task.exception())[:200]

    def stop(self) -> None:
        self._task.cancel()

    def list_events(self, event: str) -> list[dict[str, Any]]:
        lines = map(json.loads, self.lines)
        return [line for line in lines if line["event"] == event]


async def play_hosts(values: Sequence[tuple[bytes, bytes]], is_first: bool) -> list[str]:
    """Follow entries, one sound before and one after the odd ones; return what is wrong.

    If ``is_first``, the odd entries exist before the follower starts.
    """
    directories: list[HostDirectory] = []

    def make_apply(events: EventLog) -> ApplyFunction:
        directories.append(HostDirectory(parse_host, events))
        return directories[0].apply

    followed = _Followed(make_apply)
    sound = json.dumps(HOST).encode()
    if not is_first:
        followed.pages.put("i-before", sound)
        await followed.read()
    for key, value in values:
        followed.pages.put(key, value)
    end = await followed.read()
    followed.pages.put("i-sound", sound)
    followed.pages.put("i-before", json.dumps(HOST | {"state": "draining"}).encode())
    end = await followed.read() or end
    found = directories[0].hosts
    followed.stop()
    wrong = [end] if end else []
    if "i-sound" not in found:
        wrong.append("a host that came later is unknown")
    if "i-before" in found and not found["i-before"].is_draining:
        wrong.append("a host that drains is not known to")
    return wrong + [name for host in found.values() for name in find_unbearable(host)]


class HostEntriesTest(TestCase):
    def assert_borne(self, cases: Sequence[tuple[bytes, bytes]], is_first: bool) -> None:
        wrong = {}
        for key, value in cases:
            if found := run_virtual(play_hosts([(key, value)], is_first)):
                wrong[key[:20], value[:60], len(value)] = found
        self.assertEqual({}, wrong)

    def test_any_field_may_be_hostile(self) -> None:
        """Guards against one entry that hides later ones: each field, each odd value."""
        self.assert_borne([(b"i-odd", value) for value in list_hostile(HOST)], False)

    def test_odd_entry_may_be_there_before_the_node(self) -> None:
        """Guards against nodes that never open a pool because of an entry they start with."""
        changed = [json.dumps(HOST)[:-1] + f', "x": {fragment}}}' for fragment in FRAGMENTS]
        self.assert_borne([(b"i-odd", value.encode()) for value in changed], True)

    def test_any_key_may_be_hostile(self) -> None:
        """Guards against line breaks in headers and against the key of another host."""
        self.assert_borne([(key, json.dumps(HOST).encode()) for key in ODD_KEYS], False)

    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(value=draw_hostile(HOST))
    def test_several_fields_may_be_hostile(self, value: bytes) -> None:
        """Guards against combinations of odd values."""
        self.assert_borne([(b"i-odd", value)], False)

    def test_many_odd_entries_at_once_leave_the_sound_ones(self) -> None:
        """Guards against a page of odd entries; each is told once, however often it is read."""
        values = [(b"i-%d" % number, value) for number, value in enumerate(list_hostile(HOST)[::5])]
        self.assertEqual([], run_virtual(play_hosts(values, False)))

    def test_sound_host_that_becomes_malformed_is_removed(self) -> None:
        """Guards against starts on a host whose newest entry can't be read."""

        async def play() -> tuple[str, bool, set[str]]:
            directories: list[HostDirectory] = []

            def make_apply(events: EventLog) -> ApplyFunction:
                directories.append(HostDirectory(parse_host, events))
                return directories[0].apply

            followed = _Followed(make_apply)
            followed.pages.put("i-1", json.dumps(HOST).encode())
            await followed.read()
            followed.pages.put("i-1", (json.dumps(HOST)[:-1] + f',"x":{FRAGMENTS[0]}}}').encode())
            end = await followed.read()
            gets_no_work = directories[0].hosts["i-1"].is_draining
            await asyncio.sleep(MISSING_GRACE_S)
            followed.stop()
            return end, gets_no_work, set(directories[0].hosts)

        self.assertEqual(("", True, set()), run_virtual(play()))

    def test_malformed_entry_is_told_once_with_its_offset_and_bounded(self) -> None:
        """Guards against a line at each read, and against lines as long as the entry."""

        async def play() -> list[dict[str, Any]]:
            directories: list[HostDirectory] = []
            odd = json.dumps(HOST | {"state": "x" * 60_000}).encode()

            def make_apply(events: EventLog) -> ApplyFunction:
                directories.append(HostDirectory(parse_host, events))
                return directories[0].apply

            followed = _Followed(make_apply)
            followed.pages.put("i-before", json.dumps(HOST).encode())
            for _ in range(3):
                followed.pages.put("i-odd", odd)
                await followed.read()
            followed.pages.put("i-odd", b"{" + odd)
            await followed.read()
            followed.stop()
            return followed.list_events("record_malformed")

        lines = run_virtual(play())
        self.assertEqual([("i-odd", 1), ("i-odd", 4)], [(e["key"], e["offset"]) for e in lines])
        self.assertTrue(all(line["error_type"] and len(line["error"]) <= 300 for line in lines))


def is_config_bearable(holder: ConfigHolder) -> bool:
    """Return whether records and arithmetic bear the configuration in force."""
    config = holder.config
    assert config is not None
    queues = config.queues.values()
    msgspec.msgpack.encode([[config.version], list(queues), list(config.limits.values())])
    numbers = [
        number
        for queue in queues
        for number in (queue.priority, queue.attempts_max, queue.stretch, queue.latency_target_ms)
    ] + [
        number
        for pool in config.pools.values()
        for number in (pool.connections_max, pool.cold_start_s, pool.cold_starts_per_s)
    ]
    shares = [workspace.share_jobs_per_s for workspace in config.workspaces.values()]
    return all(abs(float(number)) <= EXACT_MAX for number in [*numbers, *shares])


async def play_operators(key: str, value: bytes) -> list[str]:
    """Follow the operators' records with an odd one among sound ones; return what is wrong."""
    holders: list[Any] = []

    def make_apply(events: EventLog) -> ApplyFunction:
        holder, evacuations = (
            ConfigHolder(PLATFORM_RECORDS, events),
            EvacuationHolder(PLATFORM_RECORDS, events),
        )
        holders[:] = holder, evacuations

        def apply(records: Any, is_snapshot: bool) -> None:
            holder.apply(records, is_snapshot)
            evacuations.apply(records, is_snapshot)

        return apply

    followed = _Followed(make_apply)
    followed.pages.put("config", json.dumps(CONFIG | {"version": 1}).encode())
    await followed.read()
    followed.pages.put(key, value)
    end = await followed.read()
    if end:
        return [end]
    holder, evacuations = holders
    last = holder.config.version
    wrong = [] if is_config_bearable(holder) else ["the configuration can't be borne"]
    followed.pages.put("config", json.dumps(CONFIG | {"version": last + 1}).encode())
    followed.pages.put("wave/8", json.dumps(WAVE | {"wave": 8}).encode())
    followed.pages.put("evacuate/hall-b", b"{}")
    end = await followed.read()
    followed.stop()
    wrong += [end] if end else []
    if holder.config.version != last + 1 or last > EXACT_MAX:
        wrong.append(f"version {str(holder.config.version)[:30]}")
    if 8 not in holder.waves or "hall-b" not in evacuations.halls:
        wrong.append("a later record has no effect")
    for wave in holder.waves.values():
        if max(wave.number, wave.at_once_max, wave.duration_s) > EXACT_MAX:
            wrong.append("a wave can't be borne")
    return wrong


class OperatorsTest(TestCase):
    def assert_borne(self, key: str, values: Sequence[bytes]) -> None:
        wrong = {}
        for value in values:
            try:
                found = run_virtual(play_operators(key, value))
            except (OverflowError, ValueError) as error:
                found = [repr(error)[:200]]
            if found:
                wrong[value[:60], len(value)] = found
        self.assertEqual({}, wrong)

    def test_any_field_of_the_configuration_may_be_hostile(self) -> None:
        """Guards against a configuration that ends the follower of the operators' records."""
        self.assert_borne("config", list_hostile(CONFIG))

    def test_any_field_of_a_wave_may_be_hostile(self) -> None:
        """Guards against a wave that ends the follower of the operators' records."""
        self.assert_borne("wave/7", list_hostile(WAVE))

    def test_wave_under_the_key_of_another_is_malformed(self) -> None:
        """Guards against a record that replaces the wave of another record."""

        async def play() -> list[int]:
            holder = ConfigHolder(PLATFORM_RECORDS, EventLog("n", lambda line: None))
            values = ((7, WAVE), (9, WAVE | {"maximum": 9}))
            holder.apply(
                [
                    KeyedRecord(f"wave/{number}", json.dumps(wave).encode(), number)
                    for number, wave in values
                ],
                False,
            )
            return [wave.at_once_max for wave in holder.waves.values()]

        self.assertEqual([2], run_virtual(play()))

    def test_any_request_to_evacuate_may_be_hostile(self) -> None:
        """Guards against a request that ends the follower of the operators' records."""
        self.assert_borne("evacuate/hall-a", list_hostile({"by": "op"}))

    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(value=draw_hostile(CONFIG))
    def test_several_fields_may_be_hostile(self, value: bytes) -> None:
        """Guards against combinations of odd values."""
        self.assert_borne("config", [value])
