"""Requests that the HTTP library sends a second time on its own.

When a keep-alive connection is reset, the first request may have been carried out, so a refusal of
the repeated one must not be reported as "not carried out".
"""

import asyncio
import contextlib
from collections import deque
from urllib.parse import parse_qs, urlsplit

import msgspec
from testtools import TestCase

from robinthread._internal.durable.errors import StoreNoAnswerError
from robinthread._internal.durable.group_writer import GroupWriter
from robinthread._internal.durable.store import KeyedRecord, Partition, WriterStamp
from robinthread._internal.jobs.host_errors import HostNoAnswerError
from robinthread._internal.models.resources import NO_RESOURCES
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.platform.hosts import PlatformHosts
from robinthread._internal.platform.store import PlatformStore
from robinthread._internal.standins.node_settings_standin import STORE_LIMITS
from robinthread._internal.standins.store_standin import StoreStandin
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from robinthread._internal.utils.http_call import make_client
from tests.lib.loopback_service import LoopbackService
from tests.lib.store_server import parse_records

INBOX = Partition("keyed.inbox")
HEAD_END = b"\r\n\r\n"


class RepeatService(LoopbackService):
    """Carries out requests, except for the next ones that ``script`` lists.

    "reset" carries out the request and closes the connection without a response; "503" refuses
    it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.script: deque[str] = deque()
        self.log = StoreStandin().get_log(INBOX)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(HEAD_END)).decode()
                length = next(
                    int(line.split(":")[1])
                    for line in head.split("\r\n")
                    if line.lower().startswith("content-length")
                )
                body = await reader.readexactly(length)
                step = self.script.popleft() if self.script else "done"
                if step == "503":
                    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}")
                    continue
                answer = self._carry_out(head.split(" ")[1], body)
                if step == "reset":
                    writer.transport.abort()
                    return
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(answer), answer)
                )

    def _carry_out(self, path: str, body: bytes) -> bytes:
        if not path.startswith("/log-append"):
            return b'{"clock_ms":1}'
        query = {key: values[0] for key, values in parse_qs(urlsplit(path).query).items()}
        stamp = WriterStamp(query["producer"], int(query["epoch"]), int(query["sequence"]))
        done = self.log.append_stamped(parse_records(body), stamp)
        return msgspec.json.encode({"offset": done.offset, "end": done.end})


class RepeatedCallsTest(TestCase):
    def test_append_with_a_refused_repeat_is_not_reported_as_refused(self) -> None:
        """The connection is reset after the store has appended; the repeat is refused."""

        async def work() -> None:
            async with RepeatService() as service:
                store = PlatformStore(make_client(4), service.address, NodeMetrics())
                await store.append(INBOX, [KeyedRecord("a", b"1")], stamp=WriterStamp("w", 0, 0))
                service.script.extend(["reset", "503"])
                append = store.append(INBOX, [KeyedRecord("b", b"1")], stamp=WriterStamp("w", 0, 1))
                try:
                    await append
                except StoreNoAnswerError:
                    return
                except Exception as error:
                    self.assertEqual(["a"], sorted(service.log.newest), repr(error))

        asyncio.run(work())

    def test_record_written_after_a_refused_repeat_is_stored(self) -> None:
        """The next batch needs a stamp of its own, else it gets the response to the first one."""

        async def work() -> None:
            async with RepeatService() as service:
                store = PlatformStore(make_client(4), service.address, NodeMetrics())
                writer = GroupWriter(store, INBOX, "entry/x/1", STORE_LIMITS.record_limits)
                running = asyncio.create_task(writer.run())
                deadline_s = asyncio.get_running_loop().time() + 3
                await writer.write(KeyedRecord("a", b"1"), deadline_s)
                service.script.extend(["reset", "503"])
                with contextlib.suppress(Exception):
                    await writer.write(KeyedRecord("b", b"1"), deadline_s)
                await writer.write(KeyedRecord("c", b"1"), deadline_s)
                self.assertIn("c", service.log.newest)
                running.cancel()

        asyncio.run(work())

    def test_start_with_a_refused_repeat_is_not_reported_as_rejected(self) -> None:
        async def work() -> None:
            async with RepeatService() as service:
                hosts = PlatformHosts(make_client(4), NodeMetrics())
                host = UpstreamHost(
                    "i-1", "m-1", "p", service.address, "", "", NO_RESOURCES, frozenset()
                )
                task = TaskKey(f"{1:016x}", 0, 0, 0)
                await hosts.stop(host, task, 1, 1)
                service.script.extend(["reset", "503"])
                order = StartOrder(task, 2, "text", 5000, 1, "", "")
                error = await self._catch(hosts.start(host, order))
                self.assertIsInstance(error, HostNoAnswerError)

        asyncio.run(work())

    async def _catch(self, work) -> Exception | None:  # type: ignore[no-untyped-def]
        try:
            await work
        except Exception as error:
            return error
        return None
