"""Stand-ins of machines and their workers, by PROTOCOL.md, served over HTTP on loopback."""

import asyncio
import contextlib
import itertools
import json
import secrets
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
START_UP_S = 0.5
STOP_S = 0.2
MAX_HOLD_MS = 10_000


class Life:
    """One life of a worker: its runs, ends, lease and fencing token."""

    def __init__(self, machine: "Machine") -> None:
        self.id = f"i-{secrets.token_hex(5)}"
        self.machine = machine
        self.is_up = True
        self.loop = asyncio.get_running_loop()
        self.began_at_s = self.loop.time()
        self.token = 0
        self.deadline_ms = 0
        self.running: dict[tuple[str, int], dict[str, Any]] = {}
        self.finished: list[list[Any]] = []
        self.highest: dict[str, int] = {}
        self.numbers = itertools.count(1)
        self.ended = asyncio.Event()
        self.state = "ready"

    @property
    def clock_ms(self) -> int:
        """Return the worker's steady clock."""
        return int((self.loop.time() - self.began_at_s) * 1000)

    def extend(self, deadline_ms: int | None) -> None:
        """Extend the lease; it never shortens and is at most ``MAX_HOLD_MS`` long."""
        if deadline_ms is None:
            return
        until_ms = min(deadline_ms, self.clock_ms + MAX_HOLD_MS)
        if until_ms > self.deadline_ms:
            self.deadline_ms = until_ms
            left_s = max(0.0, (until_ms - self.clock_ms) / 1000) + 0.002
            self.loop.call_later(left_s, self._check_lease)

    def _check_lease(self) -> None:
        if self.is_up and self.clock_ms >= self.deadline_ms:
            for key in list(self.running):
                self.end(key, "lapsed")

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Begin a run, or reject it."""
        task, number = body["task"], body["run"]
        self.extend(body["deadline_ms"])
        if (task, number) in self.running:
            return 200, {}
        if number <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        if body["deadline_ms"] <= self.clock_ms:
            return 409, {"reason": "late"}
        work = json.loads(body["spec"])
        used = sum(run["cpu"] for run in self.running.values())
        if used + work["cpu"] > self.machine.cpu:
            return 409, {"reason": "room"}
        key = (task, number)
        self.running[key] = {
            "cpu": work["cpu"],
            "work_s": work.get("work_s"),
            "at_s": self.loop.time(),
            "stopping": False,
        }
        self.machine.fleet.tell("start", task=task, run=number, worker=self.id, spec=body["spec"])
        if work.get("work_s"):
            self.running[key]["timer"] = self.loop.call_later(
                work["work_s"], self.end, key, work.get("end", "done")
            )
        return 200, {}

    def stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stop a run, or reject its start from now on."""
        key = (body["task"], body["run"])
        run = self.running.get(key)
        if run is None:
            self.highest[key[0]] = max(key[1], self.highest.get(key[0], 0))
        elif not run["stopping"]:
            run["stopping"] = True
            self.loop.call_later(STOP_S, self.end, key, "stopped")
        return 200, {}

    def end(self, key: tuple[str, int], how: str) -> None:
        """List the end of a run and free its room."""
        run = self.running.pop(key, None)
        if run is None or not self.is_up:
            return
        if "timer" in run:
            run["timer"].cancel()
        self.highest[key[0]] = max(key[1], self.highest.get(key[0], 0))
        self.finished.append([next(self.numbers), key[0], key[1], how, ""])
        self.machine.fleet.tell("end", task=key[0], run=key[1], worker=self.id, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    async def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Forget observed ends, extend the lease and list what runs and what has ended."""
        observed = body["observed"]
        self.finished = [end for end in self.finished if end[0] > observed]
        self.extend(body.get("deadline_ms"))
        if body.get("wait_ms") and not self.finished:
            ended = self.ended
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(ended.wait(), body["wait_ms"] / 1000)
        running = [
            [task, number, "", self._get_percent(run), 0]
            for (task, number), run in self.running.items()
            if not run["stopping"]
        ]
        return 200, {"running": running, "finished": self.finished[:500]}

    def _get_percent(self, run: dict[str, Any]) -> int:
        """Return the progress of a run: a lasting one is at work after a short start."""
        ran_s = self.loop.time() - run["at_s"]
        if run["work_s"] is None:
            return 100 if ran_s > START_UP_S else 0
        return min(99, int(100 * ran_s / run["work_s"]))

    def crash(self, how: str) -> None:
        """End this life; everything that runs here dies."""
        self.is_up = False
        for (task, number), run in self.running.items():
            if "timer" in run:
                run["timer"].cancel()
            age_s = round(self.loop.time() - run["at_s"], 3)
            self.machine.fleet.tell(
                "died", task=task, run=number, worker=self.id, how=how, age_s=age_s
            )
        self.running.clear()
        self.ended.set()


class WorkerHandler(RequestHandler):
    """Carries out orders on the life that they name."""

    def initialize(self, life: Life) -> None:  # type: ignore[override]
        """Set the life."""
        self._life = life

    async def post(self, kind: str) -> None:
        """Carry out one order."""
        life = self._life
        if not life.is_up:
            self.request.connection.stream.close()
            return
        if self.request.headers.get("X-Target-Instance") != life.id:
            self.set_status(421)
            return
        body = json.loads(self.request.body)
        if body.get("fencing_token", 0) < life.token:
            status, answer = 409, {"reason": "fence"}
        else:
            life.token = body.get("fencing_token", 0)
            if kind == "run-start":
                status, answer = life.start(body)
            elif kind == "run-stop":
                status, answer = life.stop(body)
            elif kind == "hold":
                status, answer = await life.hold(body)
            else:
                status, answer = 200, {}
        if not life.is_up:
            self.request.connection.stream.close()
            return
        self.set_status(status)
        self.finish({"clock_ms": life.clock_ms} | answer)


class Machine:
    """A machine, its pool and the life that it runs now, if any."""

    def __init__(self, fleet: "Fleet", name: str, pool: str, rack: str, cpu: int) -> None:
        self.fleet = fleet
        self.name, self.pool, self.rack, self.cpu = name, pool, rack, cpu
        self.state = "down"
        self.life: Life | None = None
        self._server: HTTPServer | None = None
        self._sequence = itertools.count(1)
        self._address = ""
        self.tokens: list[int] = []
        self.done_waves: set[int] = set()

    def begin(self) -> None:
        """Begin a life, with an address and an entry of its own."""
        self.life = Life(self)
        application = Application([(r"/(.*)", WorkerHandler, {"life": self.life})])
        application.settings["log_function"] = lambda handler: None
        self._server = HTTPServer(application)
        sockets = bind_sockets(0, "127.0.0.1")
        self._address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self._server.add_sockets(sockets)
        self.state = "up"
        self._beat(self.life)
        self.fleet.tell("worker up", machine=self.name, worker=self.life.id, pool=self.pool)

    def _beat(self, life: Life) -> None:
        if life is not self.life or not life.is_up:
            return
        entry = {
            "service": self.pool,
            "address": self._address,
            "zone": "hall",
            "version": "v1",
            "slots": 8,
            "state": life.state,
            "cold_remaining_ms": 0,
            "sequence": next(self._sequence),
            "machine": self.name,
            "capacity": {"cpu": self.cpu, "mem_mb": 32_000, "gpu": 0},
            "labels": ["large", self.rack],
        }
        self.fleet.put_entry(life.id, entry)
        life.loop.call_later(HEARTBEAT_S, self._beat, life)

    def take_down(self, how: str, state: str, back_s: float, pool: str | None = None) -> None:
        """End the life at once; a new one begins after ``back_s``."""
        life, self.life = self.life, None
        self.state = state
        if self._server is not None:
            self._server.stop()
            asyncio.get_running_loop().create_task(self._server.close_all_connections())
        if life is not None:
            life.crash(how)
            silence_s = HEARTBEAT_S * MISSED_HEARTBEATS
            life.loop.call_later(silence_s, self.fleet.drop_entry, life.id)
        self.pool = pool or self.pool
        asyncio.get_running_loop().call_later(back_s, self.begin)

    def crash(self, back_s: float) -> None:
        """Crash the worker: its connections are reset, and it says nothing."""
        self.take_down("crash", "down", back_s)


class Fleet:
    """All machines, the platform's service for them, and the record of what they see."""

    def __init__(
        self,
        put_entry: Callable[[str, dict[str, Any]], None],
        drop_entry: Callable[[str], None],
        tell: Callable[..., None],
        move_s: float = 1.5,
        upkeep_s: float = 2.0,
    ) -> None:
        self.put_entry, self.drop_entry, self.tell = put_entry, drop_entry, tell
        self.move_s, self.upkeep_s = move_s, upkeep_s
        self.machines: dict[str, Machine] = {}
        self.waves: dict[int, list[str]] = {}

    def add(self, pool: str, rack: str, cpu: int = 16_000) -> Machine:
        """Add a machine and begin its worker."""
        name = f"m-{len(self.machines)}"
        machine = self.machines[name] = Machine(self, name, pool, rack, cpu)
        machine.begin()
        return machine

    def list_rows(self) -> list[dict[str, Any]]:
        """Return the rows of the list of machines."""
        return [
            {
                "machine": machine.name,
                "pool": machine.pool,
                "state": machine.state,
                "zone": "hall",
                "labels": ["large", machine.rack],
                "capacity": {"cpu": machine.cpu, "mem_mb": 32_000, "gpu": 0},
                "id": machine.life.id if machine.life is not None else "",
            }
            for machine in self.machines.values()
        ]

    def order(self, kind: str, body: dict[str, Any], holder: str, token: int) -> tuple[int, str]:
        """Carry out a move or an upkeep; return the status and the reason."""
        machine = self.machines.get(body["machine"])
        if machine is None:
            return 400, ""
        if token < max(machine.tokens, default=0):
            return 409, "fence"
        machine.tokens.append(token)
        if kind == "machine-upkeep":
            wave = body["wave"]
            if machine.name not in self.waves.get(wave, ()):
                return 409, "wave"
            if wave in machine.done_waves:
                return 200, ""
            if machine.state != "up":
                return 409, "busy"
            machine.done_waves.add(wave)
            self.tell("upkeep", machine=machine.name, wave=wave, holder=holder, token=token)
            machine.take_down("upkeep", "upkeep", self.upkeep_s)
            return 200, ""
        if machine.pool == body["pool"]:
            return 200, ""
        if machine.state != "up":
            return 409, "busy"
        self.tell("move", machine=machine.name, pool=body["pool"], holder=holder, token=token)
        machine.take_down("move", "moving", self.move_s, body["pool"])
        return 200, ""


class MachinesHandler(RequestHandler):
    """The platform's service for machines."""

    def initialize(self, fleet: Fleet) -> None:  # type: ignore[override]
        """Set the fleet."""
        self._fleet = fleet

    def get(self, _kind: str) -> None:
        """List the machines."""
        self.finish({"machines": self._fleet.list_rows()})

    def post(self, kind: str) -> None:
        """Carry out an order."""
        status, reason = self._fleet.order(
            kind,
            json.loads(self.request.body),
            self.request.headers.get("X-Lease-Holder", ""),
            int(self.request.headers.get("X-Fencing-Token", "0")),
        )
        self.set_status(status)
        self.finish({"reason": reason} if reason else {})
