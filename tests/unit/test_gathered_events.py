"""Which events share a gathered log line, and which fields these lines have."""

import asyncio
import json
from typing import Any, cast

from testtools import TestCase
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from robinthread._internal.models.fleet_config import make_fleet_config
from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.node.job_service import JobService
from robinthread._internal.node.open_requests import OpenRequests
from robinthread._internal.platform.callers import make_callers_application
from robinthread._internal.standins.platform_standin import RECORDS, RESERVE, PlatformStandin
from robinthread._internal.telemetry.event_log import EventLog
from tests.lib.job_platforms import POOL, QUEUE, start_platform
from tests.lib.virtual import run_virtual

REQUESTS = 12


def flush_and_select(platform: PlatformStandin, event: str) -> list[dict[str, Any]]:
    """Flush the gathered lines of all nodes; return the lines of one event."""
    for node in platform.nodes.values():
        node.assembled.status_reporter._events.flush_gathered(is_last=True)
    return [line for line in map(json.loads, platform.events) if line["event"] == event]


class FleetLinesTest(TestCase):
    def test_machines_that_leave_a_pool_are_logged_with_their_number(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=1, hosts=20)
            await asyncio.sleep(20)
            ordered = flush_and_select(platform, "machine_ordered")
            done = [line for line in ordered if line["outcome"] == "done"]
            moved = sum(line["count"] for line in done)
            self.assertEqual({RESERVE}, {line["to_pool"] for line in done})
            self.assertTrue(len(done) < moved)
            self.assertTrue(all(len(line["machines"]) <= 10 for line in done))
            gone = flush_and_select(platform, "host_gone")
            self.assertEqual(moved, sum(line["counts"][POOL] for line in gone))
            sizes = flush_and_select(platform, "pool_sized")
            self.assertTrue(all({"usable", "arriving", "fetch_count"} <= set(x) for x in sizes))

        run_virtual(work())


class RefusalLinesTest(TestCase):
    def test_requests_without_a_pool_are_gathered_and_others_are_single(self) -> None:
        lines: list[dict[str, Any]] = []
        events = EventLog("n", lambda line: lines.append(json.loads(line)))
        holder = ConfigHolder(RECORDS, events)

        async def send_requests(port: int, count: int) -> None:
            client = AsyncHTTPClient()
            for number in range(count):
                url = f"http://127.0.0.1:{port}/nowhere/{number:016x}"
                await client.fetch(url, raise_error=False)

        async def work() -> None:
            socket, port = bind_unused_port()
            # The calls refused here do not reach the job service.
            server = HTTPServer(
                make_callers_application(cast(JobService, None), holder, events, OpenRequests())
            )
            server.add_sockets([socket])
            await send_requests(port, REQUESTS)
            holder.config = make_fleet_config(1, (QUEUE,), (), 1000)
            await send_requests(port, REQUESTS)
            events.flush_gathered(is_last=True)
            server.stop()

        asyncio.run(work())
        single = [line for line in lines if line["outcome"] == "NOT_READY"]
        self.assertEqual(REQUESTS, len(single))
        self.assertEqual(f"{0:016x}", single[0]["job"])
        gathered = [line for line in lines if line["outcome"] == "NO_SUCH_POOL"]
        self.assertEqual(REQUESTS, sum(line["count"] for line in gathered))
        self.assertTrue(len(gathered) <= 3)
        self.assertEqual([f"{0:016x}"], gathered[0]["jobs"])
        self.assertEqual({"GET": 1}, gathered[0]["counts"])
