"""Connections to workers are closed after each task, so leases limit their number."""

import asyncio

from testtools import TestCase
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from robinthread._internal.standins.http_servers import make_worker_application
from robinthread._internal.standins.job import Job, encode_job
from robinthread._internal.standins.ledger import Ledger
from robinthread._internal.standins.worker_standin import WorkerStandin
from robinthread._internal.upstream.http_client import make_http_upstream
from robinthread._internal.upstream.reply import ReplyStatus
from robinthread._internal.upstream.task import Task

SLOTS = 4
TASKS = 12
POLLS_MAX = 500


class ConnectionsTest(TestCase):
    def test_no_connection_stays_open_after_its_task(self) -> None:
        async def work() -> None:
            server = HTTPServer(make_worker_application(WorkerStandin("w", SLOTS, Ledger())))
            sockets = bind_sockets(0, "127.0.0.1")
            server.add_sockets(sockets)
            address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
            client = CurlAsyncHTTPClient(force_instance=True, max_clients=TASKS)
            upstream = make_http_upstream(client, 5.0)
            semaphore = asyncio.Semaphore(SLOTS)

            async def run(number: int) -> ReplyStatus:
                async with semaphore:
                    task = Task(f"t{number}", f"k{number}", "p", 1, encode_job(Job(run_s=0.01)))
                    return (await upstream.run(address, task, 10.0)).status

            statuses = await asyncio.gather(*(run(number) for number in range(TASKS)))
            self.assertEqual({ReplyStatus.RAN}, set(statuses))
            for _ in range(POLLS_MAX):
                if not server._connections:
                    break
                await asyncio.sleep(0.01)
            self.assertEqual(0, len(server._connections))
            server.stop()

        asyncio.run(work())
