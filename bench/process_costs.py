"""Measure the memory, processor time and added latency of a daemon process.

Run with ``python -m bench.process_costs``.  Wall-clock figures vary between machines, so
no check depends on them; docs/CAPACITY.md quotes them.
"""

import asyncio
import contextlib
import itertools
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from robinthread._internal.commands.client import Target, call_async
from robinthread._internal.fold.envelope import Envelope, encode_batch
from robinthread._internal.fold.kinds.host_arrived import HostArrived
from robinthread._internal.fold.kinds.host_assigned import HostAssigned
from robinthread._internal.fold.kinds.pool_created import PoolCreated
from robinthread._internal.fold.registry import KIND_OF_TYPE
from robinthread._internal.models.budget import Budget
from robinthread._internal.peers.messages import Frame, Heartbeat
from robinthread._internal.peers.pynng_transport import make_pynng_transport
from robinthread._internal.platform_log.http_client import make_http_log
from robinthread._internal.standins.job import Job, encode_job
from robinthread._internal.standins.worker_standin import WorkerStandin
from robinthread._internal.upstream.http_client import make_http_upstream
from robinthread._internal.upstream.task import Task

HOSTS = 3200
POOLS = 144
HALLS = 16
LOCAL_HOSTS = 24
IDLE_S = 10.0
CHANGES = 2000
HEARTBEATS = 4000
HEARTBEATS_A_S = 400
IDLE_SHARE_GUESS = 0.0065
REQUESTS = 1000
CONCURRENCY = 8
FILL_BATCH = 10
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
FIRST_PORT = 17400
WORKER_PORT = 17500
SETTINGS = """
name = "entry-1"
hall = "hall-00"
[listen]
caller_address = "127.0.0.1:{callers}"
operator_address = "127.0.0.1:{operators}"
metrics_address = "127.0.0.1:{metrics}"
peer_address = "tcp://127.0.0.1:{peers}"
[platform]
log_url = "http://127.0.0.1:{platform}"
[dispatch]
report_interval_s = {report_interval_s}
"""


def main() -> None:
    """Measure and print the table."""
    asyncio.run(_measure())


async def _measure() -> None:
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        ports = itertools.count(FIRST_PORT)
        platform, workers = next(ports), WORKER_PORT
        stack.enter_context(_run("standin", "platform", f"--listen=127.0.0.1:{platform}"))
        stack.enter_context(_run_workers(workers))
        client = CurlAsyncHTTPClient(force_instance=True, max_clients=64)
        await _wait_for_port(platform)
        await _wait_for_port(workers)
        for hosts, pools in ((0, 0), (HOSTS, POOLS)):
            if hosts:
                await _fill_log(client, platform, workers, hosts, pools)
            await _measure_daemon(client, folder, ports, platform, workers, hosts, pools)
        await _measure_restart(client, folder, ports, platform)


async def _measure_daemon(
    client: CurlAsyncHTTPClient,
    folder: Path,
    ports: Iterator[int],
    platform: int,
    workers: int,
    hosts: int,
    pools: int,
) -> None:
    path, addresses = _write_settings(folder, ports, platform)
    started_at_s = time.monotonic()
    with _run("daemon", f"--settings={path}") as process:
        await _wait_until_ready(client, addresses["callers"])
        print(f"--- {hosts} hosts, {pools} pools in the state")
        print(f"start until ready            {time.monotonic() - started_at_s:8.2f} s")
        await asyncio.sleep(3.0)
        _print_memory("memory after start", process.pid)
        before_s = _read_cpu_s(process.pid)
        await asyncio.sleep(IDLE_S)
        idle_share = (_read_cpu_s(process.pid) - before_s) / IDLE_S
        print(f"idle, reports of its hosts   {idle_share:8.2%} of a core")
        if hosts:
            await _measure_heartbeats(process.pid, addresses["peers"])
            target = Target(f"127.0.0.1:{addresses['operators']}")
            await _measure_changes(process.pid, target)
            await _measure_requests(client, process.pid, addresses["callers"], workers)
            _print_memory("memory at the end", process.pid)


async def _measure_restart(
    client: CurlAsyncHTTPClient, folder: Path, ports: Iterator[int], platform: int
) -> None:
    """Print the time of a start from the snapshot that the previous daemon has written."""
    path, addresses = _write_settings(folder, ports, platform)
    started_at_s = time.monotonic()
    with _run("daemon", f"--settings={path}"):
        await _wait_until_ready(client, addresses["callers"])
        print(f"start from a snapshot        {time.monotonic() - started_at_s:8.2f} s")


def _write_settings(
    folder: Path, ports: Iterator[int], platform: int
) -> tuple[Path, dict[str, int]]:
    names = ("callers", "operators", "metrics", "peers")
    addresses = {name: next(ports) for name in names}
    path = folder / f"daemon-{addresses['callers']}.toml"
    path.write_text(SETTINGS.format(platform=platform, report_interval_s=5.0, **addresses))
    return path, addresses


async def _measure_heartbeats(pid: int, port: int) -> None:
    """Print the processor time per received heartbeat, less the estimated time spent idling."""
    frame = Frame("hall-01-d0", "", 1, 0, 1, Heartbeat(12345, (), "0" * 16, 12288))
    transport = make_pynng_transport("tcp://127.0.0.1:0")
    before_s, started_at_s = _read_cpu_s(pid), time.monotonic()
    for number in range(HEARTBEATS):
        data = msgspec.msgpack.encode(msgspec.structs.replace(frame, id=number + 1))
        transport.send(f"tcp://127.0.0.1:{port}", data)
        await asyncio.sleep(1 / HEARTBEATS_A_S)
    spent_s = _read_cpu_s(pid) - before_s
    idle_s = (time.monotonic() - started_at_s) * IDLE_SHARE_GUESS
    transport.close()
    cost_ms = (spent_s - idle_s) / HEARTBEATS * 1000
    print(f"a heartbeat received         {cost_ms:8.3f} ms of a core")


async def _measure_changes(pid: int, target: Target) -> None:
    before_s = _read_cpu_s(pid)
    for number in range(0, CHANGES, CONCURRENCY):
        await asyncio.gather(
            *(
                call_async(
                    target, "PublishConfig", {"name": f"c{number + index}", "text": "x" * 100}
                )
                for index in range(CONCURRENCY)
            )
        )
    cost_ms = (_read_cpu_s(pid) - before_s) / CHANGES * 1000
    print(f"a change, call and fold      {cost_ms:8.2f} ms of a core")


async def _measure_requests(
    client: CurlAsyncHTTPClient, pid: int, callers: int, workers: int
) -> None:
    upstream = make_http_upstream(client, 5.0)

    async def direct(number: int) -> None:
        address = f"127.0.0.1:{workers + number % LOCAL_HOSTS}"
        body = encode_job(Job(payload=str(number)))
        await upstream.run(address, Task(f"d{number}", f"d{number}", "p", 1 << 40, body), 10.0)

    async def through(number: int, may_repeat: str) -> None:
        request = HTTPRequest(
            f"http://127.0.0.1:{callers}/v1/pools/pool-000/requests",
            method="POST",
            body=encode_job(Job(payload=str(number))),
            headers={
                "Caller-Id": "bench",
                "Request-Id": f"{may_repeat}-{number}",
                "May-Repeat": may_repeat,
                "Deadline-At-S": f"{time.time() + 30:.3f}",
            },
        )
        response = await client.fetch(request, raise_error=False)
        if response.headers.get("Result-Code") != "200":
            raise RuntimeError(f"{response.code} {response.body!r}")

    kinds = {
        "through, may repeat": lambda number: through(number, "yes"),
        "through, not repeated": lambda number: through(number, "no"),
        "direct to the worker": direct,
    }
    for label, call in kinds.items():
        await _time_calls(label, call, pid)


async def _time_calls(label: str, call: object, pid: int) -> None:
    took_ms: list[float] = []
    numbers = iter(range(REQUESTS))

    async def lane() -> None:
        for number in numbers:
            started_at_s = time.perf_counter()
            await call(number)  # type: ignore[operator]
            took_ms.append((time.perf_counter() - started_at_s) * 1000)

    before_s, started_at_s = _read_cpu_s(pid), time.monotonic()
    await asyncio.gather(*(lane() for _ in range(CONCURRENCY)))
    rate = REQUESTS / (time.monotonic() - started_at_s)
    cost_ms = (_read_cpu_s(pid) - before_s) / REQUESTS * 1000
    took_ms.sort()
    print(
        f"{label:24s} {rate:7.0f}/s  p50 {took_ms[REQUESTS // 2]:6.2f} ms  "
        f"p99 {took_ms[REQUESTS * 99 // 100]:6.2f} ms  daemon {cost_ms:5.2f} ms of a core each"
    )


async def _fill_log(
    client: CurlAsyncHTTPClient, platform: int, workers: int, hosts: int, pools: int
) -> None:
    """Append records of a fleet; the first ``LOCAL_HOSTS`` are real and in the daemon's hall."""
    log = make_http_log(client, f"http://127.0.0.1:{platform}", 10.0)
    bodies: list[object] = [
        PoolCreated(f"pool-{number:03d}", Budget(min_serving_hosts=1)) for number in range(pools)
    ]
    for number in range(hosts):
        is_local = number < LOCAL_HOSTS
        hall = 0 if is_local else 1 + number % (HALLS - 1)
        address = f"127.0.0.1:{workers + number}" if is_local else f"10.0.{number // 200}.1:80"
        name = f"hall-{hall:02d}-host-{number:04d}"
        pool = f"pool-{0 if is_local else 1 + number % (pools - 1):03d}"
        bodies += [
            HostArrived(name, f"hall-{hall:02d}", f"rack-{number // 8}", address, 8, 64, 2),
            HostAssigned(name, pool),
        ]
    for start in range(0, len(bodies), FILL_BATCH):
        batch = tuple(
            Envelope(
                KIND_OF_TYPE[type(body)],
                f"fill-{start + index}",
                "fill",
                "fill",
                0,
                msgspec.Raw(msgspec.msgpack.encode(body)),
            )
            for index, body in enumerate(bodies[start : start + FILL_BATCH])
        )
        await log.append("fleet", encode_batch(batch))


@contextlib.contextmanager
def _run(*arguments: str) -> Iterator[subprocess.Popen[bytes]]:
    process = subprocess.Popen(
        [sys.executable, "-OO", "-m", "robinthread", *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


@contextlib.contextmanager
def _run_workers(first_port: int) -> Iterator[None]:
    code = f"from bench.process_costs import serve_workers; serve_workers({first_port})"
    process = subprocess.Popen([sys.executable, "-c", code])
    try:
        yield
    finally:
        process.kill()
        process.wait()


def serve_workers(first_port: int) -> None:
    """Serve the workers of the local hosts in this process, until it is killed."""
    from robinthread._internal.daemon.process import Listener
    from robinthread._internal.standins.http_servers import make_worker_application
    from robinthread._internal.standins.ledger import Ledger

    async def serve() -> None:
        for number in range(LOCAL_HOSTS):
            worker = WorkerStandin(f"w{number}", 8, Ledger())
            listener = Listener(f"127.0.0.1:{first_port + number}")
            listener.serve(make_worker_application(worker), 1_000_000)
        await asyncio.Event().wait()

    asyncio.run(serve())


async def _wait_until_ready(client: CurlAsyncHTTPClient, port: int) -> None:
    while True:
        try:
            response = await client.fetch(f"http://127.0.0.1:{port}/ready", raise_error=False)
            if response.code == 200:
                return
        except (OSError, HTTPClientError):
            pass
        await asyncio.sleep(0.05)


async def _wait_for_port(port: int) -> None:
    while True:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except (OSError, HTTPClientError):
            await asyncio.sleep(0.05)
            continue
        writer.close()
        return


def _read_cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _print_memory(label: str, pid: int) -> None:
    found = dict(
        line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines()
    )
    parts = ", ".join(
        f"{name} {int(found[name].split()[0]) / 1024:.1f} MB"
        for name in ("VmRSS", "RssAnon", "RssFile")
    )
    print(f"{label:28s} {parts}")


if __name__ == "__main__":
    main()
