"""The simulated platform served over HTTP to real processes: store, machines and hosts."""

import asyncio
import os
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.platform.platform_records import (
    EVACUATION_PREFIX,
    PLATFORM_RECORDS,
    WAVE_PREFIX,
)
from robinthread._internal.standins.job_host_standin import JobHostStandin, TaskPlan
from robinthread._internal.standins.platform_standin import RESERVE, PlatformStandin
from tests.lib.soak.handlers import (
    DEFAULT_HALL,
    AdviceHandler,
    AnswerManner,
    HostHandler,
    MachinesHandler,
    encode_capacity,
    encode_start_time,
)
from tests.lib.soak.node_process import NodeProcess
from tests.lib.soak.proxy import LoopbackProxy
from tests.lib.store_server import serve_store

POOL = "press"
QUEUE_HOST = "press.example"
QUEUE_PATH = "/sheets/"
# Pools of days with turns of demand, in addition to ``POOL``; the last one's queue has advice.
OTHER_POOLS = ("bind", "fold")
MACHINES_PER_OTHER_POOL = 4
PATHS = {POOL: QUEUE_PATH, "bind": "/books/", "fold": "/maps/"}
ADVICE_MS = {"decide_ms": 100, "per_item_ms": 1, "valid_ms": 3000}
ADVISED_POOL = OTHER_POOLS[-1]
HOST_CAPACITY = Resources(16_000, 32_000)
# Durations of tasks, selected by task index; tasks of ``LASTING_JOB`` do not end.
WORK_S = (0.3, 0.8, 1.5)
LASTING_JOB = "1" * 16
# Tasks of jobs whose ids begin so are small, and end soon.
SMALL_JOB_PREFIX = "5" * 8
SMALL = Resources(10, 10)


def plan_task(task: TaskKey) -> TaskPlan:
    """Return the plan of a task; it has no end for the tasks of ``LASTING_JOB``."""
    if task.job_id.startswith(SMALL_JOB_PREFIX):
        return TaskPlan(WORK_S[0], SMALL)
    work_s = None if task.job_id == LASTING_JOB else WORK_S[task.index % len(WORK_S)]
    return TaskPlan(work_s, Resources(1000, 100))


class SoakWorld(PlatformStandin):
    """Store, machines and hosts, each served on loopback; each host is behind its own proxy.

    ``host_manners`` tells by machine how its hosts answer, ``machines_manner`` how the machines do.
    """

    def __init__(
        self,
        seed: int,
        plan: Callable[[TaskKey], TaskPlan] = plan_task,
        capacity: Resources = HOST_CAPACITY,
        pools: tuple[str, ...] = (POOL,),
    ) -> None:
        super().__init__(plan, seed)
        self.pools = pools
        self._capacity = capacity
        self.host_proxies: dict[str, LoopbackProxy] = {}
        self.host_manners: dict[str, AnswerManner] = defaultdict(AnswerManner)
        self.machines_manner = AnswerManner()
        self.advice_manner = AnswerManner()
        self.machines_address = ("127.0.0.1", 0)
        self.advice_address = ("127.0.0.1", 0)
        self._servers: list[HTTPServer] = []
        self._config_version = 0
        self._starting: set[asyncio.Task[None]] = set()

    def make_node(self, number: int, folder: Path, store: tuple[str, int]) -> NodeProcess:
        """Return a node that is not started; it is to write its log into ``folder``."""
        # Each process has its own block of addresses, so that several soaks can run in parallel.
        ip = f"127.{10 + os.getpid() // 250 % 200}.{os.getpid() % 250}.{number}"
        services = store, self.machines_address, self.advice_address
        return NodeProcess(f"n{number}", ip, folder, *services)

    async def start(self, machines: int, reserve: int) -> None:
        """Serve ``machines`` pool hosts and ``reserve`` reserve hosts; publish the settings."""
        arguments = {"machines": self.machines, "manner": self.machines_manner}
        self.machines_address = self._serve(Application([(r"/(.*)", MachinesHandler, arguments)]))
        advice = {"advice": self.advice, "manner": self.advice_manner}
        self.advice_address = self._serve(Application([(r"/advise", AdviceHandler, advice)]))
        for number in range(machines + reserve):
            await self.add_machine(POOL if number < machines else RESERVE)
        for pool in (pool for pool in self.pools if pool != POOL):
            for _ in range(MACHINES_PER_OTHER_POOL):
                await self.add_machine(pool)
        self.publish_config(has_route=True)

    async def add_machine(self, pool: str) -> str:
        """Add a machine to a pool, with its proxy; return its name."""
        number = len(self.host_proxies)
        name = f"m-{number}"
        arguments = {
            "find_incarnation": partial(self.find_incarnation, name),
            "manner": self.host_manners[name],
        }
        target = self._serve(Application([(r"/(.*)", HostHandler, arguments)]))
        self.host_proxies[name] = LoopbackProxy(target)
        await self.host_proxies[name].start()
        return self.machines.add(pool, f"r{number % 2}", self._capacity)

    def publish_config(self, has_route: bool) -> None:
        """Publish the next version of the configuration, with or without the callers' route."""
        self._config_version += 1
        pools = [{"name": pool, "admission_check": True} for pool in self.pools]
        config: dict[str, Any] = {
            "version": self._config_version,
            "routes": list(map(_make_route, self.pools)) if has_route else [],
            "services": [*pools, {"name": RESERVE, "admission_check": True, "headroom": True}],
        }
        operators = PLATFORM_RECORDS.operators_partition
        self.store.put(operators, PLATFORM_RECORDS.config_key, msgspec.json.encode(config))

    def start_store(self) -> tuple[str, int]:
        """Serve the store; return its host and port."""
        server, address = serve_store(self.store)
        self._servers.append(server)
        host, _, port = address.rpartition(":")
        return host, int(port)

    def close(self) -> None:
        """Stop all servers and proxies."""
        for server in self._servers:
            server.stop()
        for proxy in self.host_proxies.values():
            proxy.refuse()

    def request_wave(self, wave: UpkeepWave) -> None:
        """Request a maintenance wave by a record in the store, as operators do."""
        self.machines.waves.record_request(wave)
        value = {
            "wave": wave.number,
            "machines": wave.machines,
            "duration_s": wave.duration_s,
            "maximum": wave.at_once_max,
        }
        key = f"{WAVE_PREFIX}{wave.number}"
        operators = PLATFORM_RECORDS.operators_partition
        self.store.put(operators, key, msgspec.json.encode(value))

    def request_evacuation(self, hall: str) -> None:
        """Request that a data hall is evacuated, as operators do."""
        key = f"{EVACUATION_PREFIX}{hall}"
        self.store.put(PLATFORM_RECORDS.operators_partition, key, msgspec.json.encode({}))

    def withdraw_evacuation(self, hall: str) -> None:
        """Withdraw the request to evacuate a data hall."""
        key = f"{EVACUATION_PREFIX}{hall}"
        self.store.put(PLATFORM_RECORDS.operators_partition, key, None)

    def list_host(self, record: UpstreamHost) -> None:
        """Add a host to the store's list, at the address of its machine's proxy."""
        starting = asyncio.get_running_loop().create_task(self.host_proxies[record.machine].start())
        self._starting.add(starting)
        starting.add_done_callback(self._starting.discard)
        self.put_entry(record.id, msgspec.json.encode(self.make_entry(record)))
        self.host_changes.record_listed(record)

    def put_entry(self, key: str, value: bytes) -> None:
        """Write an entry of the hosts' list, as a host or as another writer does."""
        self.store.put(PLATFORM_RECORDS.hosts_partition, key, value)

    def make_entry(self, record: UpstreamHost) -> dict[str, Any]:
        """Return a host's entry for the store's list."""
        return {
            "service": record.pool,
            "address": self.host_proxies[record.machine].address,
            "zone": record.hall or DEFAULT_HALL,
            "version": "v1",
            "slots": 16,
            "state": "draining" if record.is_draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "machine": record.machine,
            "capacity": encode_capacity(record.capacity),
            "labels": ["large", record.rack],
            "remaining_ms": record.leaves_in_ms or 0,
            **encode_start_time(record.host_started_at_ms),
        }

    def unlist_host(self, host_id: str) -> None:
        """Remove a host from the store's list."""
        self.store.put(PLATFORM_RECORDS.hosts_partition, host_id, None)

    def crash_host(self, host_id: str) -> None:
        """Crash a host; its address refuses connections until the next incarnation is listed."""
        for host in self.hosts.hosts.values():
            if host.record.id == host_id:
                self.host_proxies[host.record.machine].refuse()
        super().crash_host(host_id)

    def find_incarnation(self, machine: str) -> JobHostStandin | None:
        """Return the current host of a machine, None if it is down."""
        incarnation = self.hosts.hosts.get(f"{machine}:80")
        return incarnation if incarnation is not None and incarnation.is_up else None

    def _serve(self, application: Application) -> tuple[str, int]:
        application.settings["log_function"] = lambda handler: None
        server = HTTPServer(application)
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self._servers.append(server)
        return "127.0.0.1", sockets[0].getsockname()[1]


def _make_route(pool: str) -> dict[str, Any]:
    route: dict[str, Any] = {
        "name": PATHS[pool].strip("/"),
        "host": QUEUE_HOST,
        "path_prefix": PATHS[pool],
        "service": pool,
        "attempts": 3,
        "stretch": 1.6,
        "target_latency_ms": 600,
    }
    return route | ({"advice": ADVICE_MS} if pool == ADVISED_POOL else {})
