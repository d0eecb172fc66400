"""Limits of the platform's services, as its clients meet them over HTTP."""

import asyncio

import msgspec
from testtools import TestCase

from robinthread._internal.models.host_report import HostReport
from robinthread._internal.models.resources import NO_RESOURCES
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.platform.hosts import ENDS_PER_REPORT_MAX, PlatformHosts
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from robinthread._internal.utils.http_call import make_client
from tests.lib.scripted_service import ScriptedService


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
