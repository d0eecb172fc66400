"""A node's process ends within its grace time, and answers requests until then."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from testtools import TestCase

from robinthread._internal.platform.platform_records import PLATFORM_RECORDS
from robinthread._internal.standins.store_standin import StoreStandin
from tests.lib.job_platforms import QUEUE
from tests.lib.node_settings import find_free_ports, format_settings
from tests.lib.store_server import serve_store

POOLS = ("press", "bindery", "reserve")
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": QUEUE.name,
            "host": QUEUE.host,
            "path_prefix": QUEUE.path_prefix,
            "service": POOLS[0],
        }
    ],
    "services": [{"name": name} for name in POOLS],
}
GRACE_S = 6.0
SHORT_GRACE_S = 2.5
START_MAX_S = 30.0
SILENT_S = 3.0
# A job handed in this long after the signal is still accepted with the usual grace time.
LATE_S = 3.0
# Time after which a request has certainly been read.
SENT_S = 0.5
# Time after its last byte by which a request that was read has its answer or a closed connection.
LOSS_SLACK_S = 0.2
KEPT_CONNECTIONS = 10
# A process with as many objects as some 20,000 jobs have, which take a while to be freed.
LARGE_PROCESS = """
import sys
sys.argv = ["robinthread", "node"]
sys.objects = [[number] for number in range(4_000_000)]
from robinthread.__main__ import main_and_exit
main_and_exit()
"""


class NodeStopTest(TestCase):
    def test_process_ends_in_time_while_the_store_is_silent(self) -> None:
        async def work() -> None:
            async with run_process(GRACE_S) as node:
                node.store.faults.silent.add("*")
                # After this time, a call waits for the longest time that the store may take.
                await asyncio.sleep(SILENT_S)
                self.assertLess(await node.stop(), GRACE_S)

        asyncio.run(work())

    def test_process_ends_in_time_if_its_grace_is_short(self) -> None:
        async def work() -> None:
            async with run_process(SHORT_GRACE_S) as node:
                self.assertLess(await node.stop(), SHORT_GRACE_S)

        asyncio.run(work())

    def test_request_that_was_read_gets_a_complete_response(self) -> None:
        async def work() -> None:
            async with run_process(GRACE_S) as node:
                stop = asyncio.create_task(node.stop())
                await asyncio.sleep(LATE_S)
                node.store.faults.silent.add("*")
                answer = await node.hand_in()
                self.assertIn(b'"error"', answer.partition(b"\r\n\r\n")[2])
                self.assertLess(await stop, GRACE_S)

        asyncio.run(work())

    def test_kept_connections_of_a_large_process_lose_no_request_that_was_read(self) -> None:
        async def work() -> None:
            async with run_process(GRACE_S, command=("-c", LARGE_PROCESS)) as node:
                asking = [
                    asyncio.create_task(node.ask_until_closed()) for _ in range(KEPT_CONNECTIONS)
                ]
                await asyncio.sleep(SENT_S)
                # Lines that nobody reads keep the end of the process from being seen.
                lines = asyncio.create_task(node.read_rest())
                self.assertLess(await node.stop(), GRACE_S)
                await lines
                held_s = [await task for task in asking]
                self.assertLess(max(held_s), LOSS_SLACK_S)

        asyncio.run(work())

    def test_process_that_has_just_started_ends_in_time(self) -> None:
        async def work() -> None:
            async with run_process(SHORT_GRACE_S, until="started", is_silent=True) as node:
                self.assertLess(await node.stop(), SHORT_GRACE_S)
                last = json.loads((await node.read_rest()).splitlines()[-1])
                self.assertEqual("stopped", last["event"])
                self.assertEqual(
                    {"orders", "release", "leave", "callers", "answers"}, set(last["parts_ms"])
                )

        asyncio.run(work())

    def test_process_ends_in_time_if_its_tasks_ignore_cancellation(self) -> None:
        async def work() -> None:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "tests.lib.stubborn_process", str(SHORT_GRACE_S)),
                stdout=asyncio.subprocess.PIPE,
            )
            node = NodeProcess(process, StoreStandin())
            await node.read("started")
            node.front = node.events[0]["port"]
            calls = [asyncio.create_task(node.hand_in()), asyncio.create_task(node.ask())]
            await asyncio.sleep(SENT_S)
            self.assertLess(await node.stop(), SHORT_GRACE_S)
            statuses = [(await call).split()[1] for call in calls]
            self.assertEqual([b"504", b"503"], statuses)
            await node.read("stopped")
            self.assertEqual(2, node.events[-1]["given_up_count"])
            self.assertEqual(["answers"], node.events[-1]["left_undone"])
            await node.read("end_forced")
            self.assertEqual(["RequestHandler._execute"] * 2, node.events[-1]["waited_for"])
            self.assertEqual(1, process.returncode)

        asyncio.run(work())


class NodeProcess:
    def __init__(
        self, process: asyncio.subprocess.Process, store: StoreStandin, front: int = 0
    ) -> None:
        self._process = process
        self.front = front
        self.store = store
        self.events: list[dict[str, Any]] = []

    async def read(self, until: str) -> None:
        """Read the log lines up to the event ``until``."""
        assert self._process.stdout is not None
        async with asyncio.timeout(START_MAX_S):
            async for line in self._process.stdout:
                if line.startswith(b"{"):
                    self.events.append(json.loads(line))
                    if self.events[-1]["event"] == until:
                        return
        raise AssertionError(f"no {until} in {self.events}")

    async def read_rest(self) -> bytes:
        """Read the remaining output until the process ends."""
        assert self._process.stdout is not None
        return await self._process.stdout.read()

    async def stop(self) -> float:
        """Send SIGTERM; return the seconds until the process has ended."""
        began_at_s = time.monotonic()
        self._process.send_signal(signal.SIGTERM)
        await self._process.wait()
        return time.monotonic() - began_at_s

    async def hand_in(self) -> bytes:
        """Hand a job in; return the whole response."""
        return await self._call("POST", json.dumps({"spec": "text", "steps": [{"count": 1}]}))

    async def ask(self) -> bytes:
        """Request the job's state; return the whole response."""
        return await self._call("GET", "")

    async def ask_until_closed(self) -> float:
        """Ask on one connection until it ends; return the seconds from the last request to it.

        The time is 0 if the connection was reset, for then the request had not been read.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.front)
        request = f"GET {QUEUE.path_prefix}{1:016x} HTTP/1.1\r\nHost: {QUEUE.host}\r\n\r\n"
        try:
            while True:
                sent_at_s = time.monotonic()
                writer.write(request.encode())
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(head.partition(b"Content-Length: ")[2].split()[0]))
        except asyncio.IncompleteReadError:
            return time.monotonic() - sent_at_s
        except ConnectionError:
            return 0.0
        finally:
            writer.close()

    async def _call(self, method: str, body: str) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.front)
        lines = (
            f"{method} {QUEUE.path_prefix}{1:016x} HTTP/1.1",
            f"Host: {QUEUE.host}",
            "Connection: close",
            f"Content-Length: {len(body)}",
            "",
            body,
        )
        writer.write("\r\n".join(lines).encode())
        answer = await reader.read()
        writer.close()
        return answer


@asynccontextmanager
async def run_process(
    grace_s: float,
    until: str = "pool_opened",
    is_silent: bool = False,
    command: tuple[str, ...] = ("-m", "robinthread", "node"),
) -> AsyncIterator[NodeProcess]:
    """Run a node with its own store; yield once three pools are open, or at ``until``."""
    store = StoreStandin()
    if is_silent:
        store.faults.silent.add("*")
    store.put(
        PLATFORM_RECORDS.operators_partition,
        PLATFORM_RECORDS.config_key,
        json.dumps(CONFIG).encode(),
    )
    server, address = serve_store(store)
    ports = find_free_ports()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_text(format_settings(ports, grace_s, address))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            env=os.environ | {"ROBINTHREAD_NODE_FILE": str(path)},
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            node = NodeProcess(process, store, ports.front)
            for _ in POOLS if until == "pool_opened" else (until,):
                await node.read(until)
            yield node
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            server.stop()
