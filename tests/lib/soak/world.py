"""The simulated platform served over HTTP to real processes: store, machines and hosts."""

import asyncio
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from robinthread._internal.fleet.machine_errors import (
    MachineBusyError,
    MachineFencedError,
    MachineMisfitError,
)
from robinthread._internal.jobs.host_errors import HostError
from robinthread._internal.models.host_report import HostReport, RunEnd
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.platform.hosts import HOST_HEADER
from robinthread._internal.platform.machines import HOLDER_HEADER, TOKEN_HEADER
from robinthread._internal.platform.platform_records import (
    EVACUATION_PREFIX,
    PLATFORM_RECORDS,
    WAVE_PREFIX,
)
from robinthread._internal.platform.task_names import format_task, parse_task
from robinthread._internal.standins.job_host_standin import JobHostStandin, TaskPlan
from robinthread._internal.standins.platform_standin import RESERVE, PlatformStandin
from tests.lib.soak.proxy import LoopbackProxy
from tests.lib.store_server import serve_store

POOL = "press"
QUEUE_HOST = "press.example"
QUEUE_PATH = "/sheets/"
CONFIG: dict[str, Any] = {
    "routes": [
        {
            "name": "sheets",
            "host": QUEUE_HOST,
            "path_prefix": QUEUE_PATH,
            "service": POOL,
            "attempts": 3,
            "stretch": 1.6,
            "target_latency_ms": 600,
        }
    ],
    "services": [
        {"name": POOL, "admission_check": True},
        {"name": RESERVE, "admission_check": True, "headroom": True},
    ],
}
HOST_CAPACITY = Resources(16_000, 32_000)
# The data hall of all nodes, and of the machines whose rack is in no other.
DEFAULT_HALL = "hall"
# Durations of tasks, selected by task index; tasks of ``LASTING_JOB`` do not end.
WORK_S = (0.3, 0.8, 1.5)
LASTING_JOB = "1" * 16
# Tasks of jobs whose ids begin so are small, and end soon.
SMALL_JOB_PREFIX = "5" * 8
SMALL = Resources(10, 10)
ENDS = {
    RunEnd.DONE: "done",
    RunEnd.FAILED: "failed",
    RunEnd.STOPPED: "stopped",
    RunEnd.LAPSED: "lapsed",
    RunEnd.GANG_BROKEN: "broken",
    RunEnd.GANG_ALONE: "alone",
}


def plan_task(task: TaskKey) -> TaskPlan:
    """Return the plan of a task; it has no end for the tasks of ``LASTING_JOB``."""
    if task.job_id.startswith(SMALL_JOB_PREFIX):
        return TaskPlan(WORK_S[0], SMALL)
    work_s = None if task.job_id == LASTING_JOB else WORK_S[task.index % len(WORK_S)]
    return TaskPlan(work_s, Resources(1000, 100))


class SoakWorld(PlatformStandin):
    """Store, machines and hosts, each served on loopback; each host is behind its own proxy."""

    def __init__(self, seed: int) -> None:
        super().__init__(plan_task, seed)
        self.host_proxies: dict[str, LoopbackProxy] = {}
        self.machines_address = ("127.0.0.1", 0)
        self._servers: list[HTTPServer] = []
        self._config_version = 0
        self._starting: set[asyncio.Task[None]] = set()

    async def start(self, machines: int, reserve: int) -> None:
        """Serve ``machines`` pool hosts and ``reserve`` reserve hosts; publish the settings."""
        for number in range(machines + reserve):
            name = f"m-{number}"
            target = self._serve(Application([(r"/(.*)", _HostHandler, self._name(name))]))
            self.host_proxies[name] = LoopbackProxy(target)
            await self.host_proxies[name].start()
        self.machines_address = self._serve(
            Application([(r"/(.*)", _MachinesHandler, {"world": self})])
        )
        for number in range(machines + reserve):
            pool = POOL if number < machines else RESERVE
            self.machines.add(pool, f"r{number % 2}", HOST_CAPACITY)
        self.publish_config(has_route=True)

    def publish_config(self, has_route: bool) -> None:
        """Publish the next version of the configuration, with or without the callers' route."""
        self._config_version += 1
        config = CONFIG | {"version": self._config_version}
        if not has_route:
            config["routes"] = []
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
        proxy = self.host_proxies[record.machine]
        starting = asyncio.get_running_loop().create_task(proxy.start())
        self._starting.add(starting)
        starting.add_done_callback(self._starting.discard)
        value = {
            "service": record.pool,
            "address": proxy.address,
            "zone": record.hall or DEFAULT_HALL,
            "version": "v1",
            "slots": 16,
            "state": "draining" if record.is_draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "machine": record.machine,
            "capacity": _encode_capacity(record.capacity),
            "labels": ["large", record.rack],
            "remaining_ms": record.leaves_in_ms or 0,
            **_encode_start_time(record.host_started_at_ms),
        }
        self.store.put(PLATFORM_RECORDS.hosts_partition, record.id, msgspec.json.encode(value))

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

    def _name(self, machine: str) -> dict[str, Any]:
        return {"world": self, "machine": machine}


def _encode_capacity(capacity: Resources) -> dict[str, int]:
    return {"cpu": capacity.cpu_millicores, "mem_mb": capacity.memory_mb, "gpu": capacity.gpu_count}


class _HostHandler(RequestHandler):
    """Executes orders on the current host of a machine."""

    def initialize(self, world: SoakWorld, machine: str) -> None:  # type: ignore[override]
        self._world = world
        self._machine = machine

    async def post(self, kind: str) -> None:
        incarnation = self._world.find_incarnation(self._machine)
        if incarnation is None or incarnation.record.id != self.request.headers.get(HOST_HEADER):
            self.set_status(421)
            return
        body = msgspec.json.decode(self.request.body)
        try:
            self.finish(await self._execute_order(kind, incarnation, body))
        except HostError as error:
            self.set_status(409)
            self.finish({"reason": str(error)})

    async def _execute_order(
        self, kind: str, incarnation: JobHostStandin, body: dict[str, Any]
    ) -> dict[str, Any]:
        token = body["fencing_token"]
        match kind:
            case "hold":
                return await self._poll(incarnation, token, body)
            case "run-start":
                order = StartOrder(
                    parse_task(body["task"]), body["run"], body["spec"], body["deadline_ms"], token
                )
                return {"clock_ms": incarnation.start(order)}
            case "run-stop":
                incarnation.stop(parse_task(body["task"]), body["run"], token)
            case "pace":
                incarnation.pace(token)
        return {"clock_ms": incarnation.clock_ms}

    async def _poll(
        self, incarnation: JobHostStandin, token: int, body: dict[str, Any]
    ) -> dict[str, Any]:
        report = incarnation.poll(token, body["observed"], body.get("deadline_ms"))
        if body.get("wait_ms") and not report.ended:
            await incarnation.wait_for_end(body["wait_ms"] / 1000)
            report = incarnation.poll(token, 0, None, body["observed"])
        return _encode_report(report)


def _encode_start_time(host_started_at_ms: int | None) -> dict[str, Any]:
    return {} if host_started_at_ms is None else {"born": host_started_at_ms}


def _encode_report(report: HostReport) -> dict[str, Any]:
    return _encode_start_time(report.host_started_at_ms) | {
        "clock_ms": report.clock_ms,
        "running": [
            [format_task(run.task), run.run, "", run.progress_percent, run.recent_load]
            for run in report.running
        ],
        "finished": [
            [end.number, format_task(end.task), end.run, ENDS[end.end], ""] for end in report.ended
        ],
    }


class _MachinesHandler(RequestHandler):
    """Lists machines and executes orders for them."""

    def initialize(self, world: SoakWorld) -> None:  # type: ignore[override]
        self._machines = world.machines

    def get(self, _path: str) -> None:
        rows = [
            {
                "machine": machine.name,
                "pool": machine.pool,
                "state": machine.state.value,
                "zone": machine.hall or DEFAULT_HALL,
                "labels": ["large", machine.rack],
                "capacity": _encode_capacity(machine.capacity),
                "id": machine.host_id or None,
            }
            for machine in self._machines.list_machines()
        ]
        self.finish({"machines": rows})

    def post(self, kind: str) -> None:
        body = msgspec.json.decode(self.request.body)
        holder = self.request.headers[HOLDER_HEADER]
        token = int(self.request.headers[TOKEN_HEADER])
        try:
            if kind == "machine-move":
                self._machines.move(body["machine"], body["pool"], holder, token)
            else:
                self._machines.begin_upkeep(body["machine"], body["wave"], holder, token)
        except (MachineFencedError, MachineBusyError, MachineMisfitError) as error:
            self.set_status(409)
            self.finish({"reason": str(error)})
            return
        self.finish({})
