"""Limits of the platform's services, as its clients meet them over HTTP."""

import asyncio
from urllib.parse import parse_qs, urlsplit

import msgspec
from testtools import TestCase

from robinthread._internal.durable.errors import (
    StoreError,
    StoreNoAnswerError,
    StoreRefusedError,
    StoreRejectedError,
)
from robinthread._internal.durable.group_writer import GroupWriter
from robinthread._internal.durable.record_limits import RecordLimits
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.models.host_report import HostReport
from robinthread._internal.models.resources import NO_RESOURCES
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.platform.hosts import ENDS_PER_REPORT_MAX, PlatformHosts
from robinthread._internal.platform.machines import PlatformMachines
from robinthread._internal.platform.store import PlatformStore
from robinthread._internal.standins.store_standin import StoreStandin
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from robinthread._internal.utils.http_call import make_client
from tests.lib.scripted_service import ScriptedService
from tests.lib.virtual import run_virtual

PARTITION = Partition("keyed.test")


async def poll_host_with_ends(end_count: int) -> HostReport:
    """Return the report of a host that lists some ends."""
    rows = [[number, f"{1:016x}.0.0.{number}", 1, "done", ""] for number in range(1, end_count + 1)]
    answer = msgspec.json.encode({"clock_ms": 1, "running": [], "finished": rows})
    async with ScriptedService(lambda path, body: (200, answer)) as service:
        hosts = PlatformHosts(make_client(1), NodeMetrics())
        host = UpstreamHost("i-1", "m-1", "p", service.address, "", "", NO_RESOURCES, frozenset())
        return await hosts.watch(host, 1, 0, None, 0.0)


class ReportLimitTest(TestCase):
    def test_report_with_as_many_ends_as_it_may_list_can_leave_out_others(self) -> None:
        """A full list was taken for the whole one."""
        report = asyncio.run(poll_host_with_ends(ENDS_PER_REPORT_MAX))
        self.assertFalse(report.lists_all_ends)
        self.assertEqual(ENDS_PER_REPORT_MAX, len(report.ended))

    def test_shorter_report_lists_all_ends(self) -> None:
        self.assertTrue(asyncio.run(poll_host_with_ends(ENDS_PER_REPORT_MAX - 1)).lists_all_ends)


async def append_with_status(status: int) -> StoreError:
    """Return the error of an append that the store answers with a status."""
    async with ScriptedService(lambda path, body: (status, b"no JSON")) as service:
        store = PlatformStore(make_client(1), service.address, NodeMetrics())
        try:
            await store.append(PARTITION, [KeyedRecord("k", b"v")], timeout_s=1.0)
        except StoreError as error:
            return error
    raise AssertionError(f"status {status} was taken for a success")


class StoreStatusTest(TestCase):
    def test_statuses_of_class_4xx_reject_the_call_itself(self) -> None:
        """The pages name no status for a record over the limit; any was taken for no answer."""
        for status in (400, 403, 404, 413, 414, 422, 431):
            error = asyncio.run(append_with_status(status))
            self.assertIsInstance(error, StoreRejectedError, str(status))

    def test_statuses_that_pass_are_refusals(self) -> None:
        for status in (429, 503, 507):
            error = asyncio.run(append_with_status(status))
            self.assertIsInstance(error, StoreRefusedError, str(status))

    def test_other_statuses_leave_the_outcome_unknown(self) -> None:
        for status in (408, 409, 410, 412, 425, 500, 502, 504):
            error = asyncio.run(append_with_status(status))
            self.assertIsInstance(error, StoreNoAnswerError, str(status))


class GroupWriterTest(TestCase):
    def test_rejected_record_does_not_fail_others_of_its_batch(self) -> None:
        """All callers of the batch were told that the outcome is unknown."""

        async def work() -> None:
            store = StoreStandin()
            store.limits = RecordLimits(1_000, 10_000)
            limits = RecordLimits(5_000, 10_000)
            writer = GroupWriter(store.connect("n"), PARTITION, "w", limits)
            running = asyncio.ensure_future(writer.run())
            deadline_s = asyncio.get_running_loop().time() + 3.0
            records = [KeyedRecord(str(number), b"v") for number in range(4)]
            records.insert(2, KeyedRecord("large", b"v" * 2_000))
            outcomes = await asyncio.gather(
                *(writer.write(record, deadline_s) for record in records), return_exceptions=True
            )
            rejected = [outcome for outcome in outcomes if isinstance(outcome, Exception)]
            self.assertEqual([StoreRejectedError], list(map(type, rejected)))
            self.assertEqual(set("0123"), set(store.get_newest(PARTITION)))
            running.cancel()

        run_virtual(work())

    def test_record_over_a_limit_is_rejected_before_it_is_sent(self) -> None:
        """A key over 255 bytes ended the writer's lane for good."""

        async def work() -> None:
            store = StoreStandin()
            writer = GroupWriter(store.connect("n"), PARTITION, "w", RecordLimits(1_000, 10_000))
            running = asyncio.ensure_future(writer.run())
            deadline_s = asyncio.get_running_loop().time() + 3.0
            for record in (KeyedRecord("k" * 256, b"v"), KeyedRecord("k", b"v" * 1_000)):
                with self.assertRaises(StoreRejectedError):
                    await writer.write(record, deadline_s)
            await writer.write(KeyedRecord("k", b"v"), deadline_s)
            self.assertEqual({"k"}, store.append_keys)
            running.cancel()

        run_virtual(work())


class MachinePagesTest(TestCase):
    def test_every_page_of_the_list_is_read(self) -> None:
        """The token of a page may hold any characters."""
        tokens = ["a&b=c d", "é/?", ""]

        def respond(path: str, body: bytes) -> tuple[int, bytes]:
            query = parse_qs(urlsplit(path).query)
            sent = query.get("page_token", [""])[0]
            number = tokens.index(sent) + 1 if sent else 0
            machine = {
                "machine": f"m-{number}",
                "pool": "p",
                "state": "up",
                "zone": "z",
                "labels": ["large", "r0"],
                "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0},
                "id": "",
            }
            page = {"machines": [machine], "next_token": tokens[number]}
            return 200, msgspec.json.encode(page)

        async def work() -> tuple[str, ...]:
            async with ScriptedService(respond) as service:
                machines = PlatformMachines(make_client(1), service.address, NodeMetrics())
                return tuple(machine.name for machine in await machines.list_machines())

        self.assertEqual(("m-0", "m-1", "m-2"), asyncio.run(work()))
