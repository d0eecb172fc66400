"""A lasting job whose workers crash under it is shown as failed, though no run ended failed.

Nodes are real processes, started with the commands of the deploy file.  Store, machines and
workers are the project's stand-ins, served over HTTP on loopback by this process.
"""

import asyncio
import json
import os
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from contextlib import suppress
from pathlib import Path
from typing import Any, Final

HERE: Final = Path(__file__).resolve().parent
ROOT: Final = HERE.parent.parent
sys.path[:0] = [str(ROOT / "target/deps"), str(ROOT / "src"), str(ROOT)]

from tests.lib.soak.world import POOL, QUEUE_HOST, QUEUE_PATH, SoakWorld  # noqa: E402

from robinthread._internal.models.resources import Resources  # noqa: E402
from robinthread._internal.models.task_key import TaskKey  # noqa: E402
from robinthread._internal.platform.platform_records import PLATFORM_RECORDS  # noqa: E402
from robinthread._internal.standins.job_host_standin import TaskPlan  # noqa: E402
from robinthread._internal.standins.run_ledger import LedgerRun  # noqa: E402

HAS_TROUBLE: Final = os.environ.get("TROUBLE", "1") != "0"
JOB: Final = "a3c91e5570d2b846"
NODES: Final = 3
# One worker of eight at a time: 12.5%, where the pages have up to 15% of a service's workers.
WORKERS: Final = 8
SUBTASKS: Final = 4
# A worker crashes this long after it began to run the subtask, so often in all.
CRASH_AFTER_S: Final = 1.0
CRASHES_MAX: Final = 6
# A crashed worker's machine has the next worker after this time, before another worker crashes.
DOWN_S: Final = 0.7
READY_MAX_S: Final = 40.0
PLAY_S: Final = 45.0
# For so long the job's state is asked for after it was shown as failed.
WATCH_S: Final = 8.0
FINAL: Final = ("failed", "canceled")

SETTINGS: Final = """
node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "hall"
region = "region"
port_range = [{peers}, {peers}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
commands = "rpc"
advice = "{advice}"
contracts = [
  "base", "drain", "config", "cost", "recover",
  "sched", "platform", "advice", "upkeep", "sharing",
]
[zones]
hall = "region"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_hold_ms = 10000
stop_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
status_s = 120
remote_factor = 2
checkpoint_interval_s = 0.5
restore_ms = 250
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
lease_ms = 3000
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "log"
parts = 12
record_bytes = 262144
call_bytes = 2097152
min_ttl_ms = 1000
[cloud]
address = "{machines}"
rate_per_s = 64.0
duty_per_s = 64.0
"""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self) -> None:
        self._file = (HERE / "record.txt").open("w")
        self._began_at_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began_at_s:8.3f} {text}\n")
        self._file.flush()


class NodeProcess:
    """A node, run by the command of the deploy file."""

    def __init__(self, number: int, folder: Path, world: SoakWorld, store: str) -> None:
        pid = os.getpid()
        self.ip = f"127.{20 + pid // 250 % 200}.{1 + pid % 250}.{number}"
        front, ready, peers = (_find_port(self.ip) for _ in range(3))
        self.front, self.ready = front, ready
        self.settings = folder / f"n{number}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=f"n{number}",
                ip=self.ip,
                front=front,
                ready=ready,
                peers=peers,
                store=store,
                machines="{}:{}".format(*world.machines_address),
                advice="{}:{}".format(*world.advice_address),
            )
        )
        self.log = folder / f"n{number}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable if words[0] == "python3" else words[0], *words[1:]),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ROBINTHREAD_NODE_FILE": str(self.settings),
                },
                stdout=log,
                stderr=log,
            )

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def _find_port(ip: str) -> int:
    with socket.socket() as found:
        found.bind((ip, 0))
        return int(found.getsockname()[1])


async def call(
    ip: str, port: int, method: str, path: str, body: str = ""
) -> tuple[int, dict[str, Any]]:
    """Return the status and the body of an answer; (0, {}) if there is none."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {QUEUE_HOST}",
        "X-Deadline-Ms: 3000",
        "Connection: close",
        f"Content-Length: {len(body)}",
        "",
        body,
    )
    try:
        async with asyncio.timeout(4.0):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write("\r\n".join(lines).encode())
                answer = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, {}
    head, _, text = answer.partition(b"\r\n\r\n")
    with suppress(ValueError):
        return int(head.split()[1]), json.loads(text) if text else {}
    return 0, {}


def publish_config(world: SoakWorld) -> None:
    """Publish a configuration with one queue; its service has all machines, and no reserve."""
    route = {
        "name": "sheets",
        "host": QUEUE_HOST,
        "path_prefix": QUEUE_PATH,
        "service": POOL,
        "priority": 0,
        "attempts": 4,
        "stretch": 2.2,
        "target_latency_ms": 2500,
    }
    config = {
        "version": 2,
        "routes": [route],
        "services": [{"name": POOL, "admission_check": True}],
        "limits": {"max_body_bytes": 262144},
    }
    key = PLATFORM_RECORDS.config_key
    world.store.put(PLATFORM_RECORDS.operators_partition, key, json.dumps(config).encode())


def list_runs(world: SoakWorld) -> list[LedgerRun]:
    """Return all runs that workers have begun, in their order."""
    return [run for run in world.hosts.ledger.runs if run.task.job_id == JOB]


def count_up(world: SoakWorld) -> int:
    """Return the number of workers that are up."""
    return sum(host.is_up for host in world.hosts.hosts.values())


def plan_task(_: TaskKey) -> TaskPlan:
    """Return the plan of a subtask that lasts."""
    return TaskPlan(None, Resources(1000, 100))


class Play:
    """One play: the job, the crashes, and what the consumer was shown."""

    def __init__(self, world: SoakWorld, nodes: list[NodeProcess], record: Record) -> None:
        self.world, self.nodes, self.record = world, nodes, record
        self.states: list[str] = []
        self.crash_count = 0
        self._noted: dict[int, str] = {}

    def note_runs(self) -> None:
        """Record the runs that have begun or ended since the last call."""
        for number, run in enumerate(list_runs(self.world)):
            state = f"ended {run.end}" if run.end else "began"
            if self._noted.get(number) != state:
                self._noted[number] = state
                name = f"{run.task.job_id}.{run.task.occurrence}.{run.task.step}.{run.task.index}"
                self.record.write(f"worker {run.host_id}: {name} run {run.number} {state}")

    async def follow_runs(self) -> None:
        """Note runs; crash the worker that runs subtask 0, ``CRASH_AFTER_S`` after its start."""
        seen: dict[int, float] = {}
        while True:
            await asyncio.sleep(0.05)
            self.note_runs()
            now_s = time.monotonic()
            for number, run in enumerate(list_runs(self.world)):
                if run.task.index != 0 or run.end:
                    continue
                began_at_s = seen.setdefault(number, now_s)
                is_due = now_s - began_at_s >= CRASH_AFTER_S
                is_due = is_due and count_up(self.world) == WORKERS
                if HAS_TROUBLE and is_due and self.crash_count < CRASHES_MAX:
                    if "failed" in self.states:
                        return
                    self.crash_count += 1
                    self.record.write(f"crash {self.crash_count}: worker {run.host_id}")
                    self.world.crash_and_replace_host(run.host_id)

    async def ask(self, number: int) -> str:
        """Ask a node for the job's state and record the answer."""
        node = self.nodes[number % len(self.nodes)]
        status, body = await call(node.ip, node.front, "GET", QUEUE_PATH + JOB)
        state = str(body.get("state", ""))
        if not self.states or self.states[-1] != state:
            self.record.write(f"GET at n{number % len(self.nodes) + 1}: {status} {body}")
        self.states.append(state)
        return state


async def wait_until_ready(nodes: list[NodeProcess]) -> bool:
    """Wait until all nodes are ready; return whether they are."""
    ends_at_s = time.monotonic() + READY_MAX_S
    while time.monotonic() < ends_at_s:
        found = await asyncio.gather(*(call(n.ip, n.ready, "GET", "/ready") for n in nodes))
        if all(status == 200 for status, _ in found):
            return True
        await asyncio.sleep(0.2)
    return False


async def hand_in(play: Play) -> bool:
    """Hand the job in until it is accepted."""
    step = {
        "count": SUBTASKS,
        "cpu": 1000,
        "mem_mb": 100,
        "estimate_ms": 500,
        "long_running": True,
        "may_miss": 1,
        "anti_affinity": 1,
    }
    body = json.dumps({"spec": "serve", "steps": [step]})
    for number in range(20):
        node = play.nodes[number % len(play.nodes)]
        status, answer = await call(node.ip, node.front, "POST", QUEUE_PATH + JOB, body)
        play.record.write(f"POST {JOB} at n{number % len(play.nodes) + 1}: {status} {answer}")
        if 200 <= status < 300:
            return True
        await asyncio.sleep(0.5)
    return False


async def play_out(play: Play) -> int:
    """Play; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    if not await wait_until_ready(play.nodes):
        play.record.write("the nodes did not become ready")
        return 2
    if not await hand_in(play):
        return 2
    following = asyncio.create_task(play.follow_runs())
    ends_at_s = time.monotonic() + PLAY_S
    number = 0
    while time.monotonic() < ends_at_s:
        if await play.ask(number) in FINAL:
            ends_at_s = min(ends_at_s, time.monotonic() + WATCH_S)
        number += 1
        await asyncio.sleep(0.25)
    following.cancel()
    with suppress(asyncio.CancelledError):
        await following
    play.note_runs()
    return judge(play)


def judge(play: Play) -> int:
    """Judge what the consumer was shown against what the workers listed."""
    runs = list_runs(play.world)
    failed_count = sum(run.end == "failed" for run in runs)
    at_work = sorted({run.task.index for run in runs if not run.end})
    shown = next((state for state in play.states if state in FINAL), "")
    play.record.write(
        f"crashes {play.crash_count}; ends `failed` {failed_count}; DELETE sent 0; "
        f"last state {play.states[-1]!r}; subtasks at work at the end {at_work} of {SUBTASKS}"
    )
    if shown and not failed_count:
        play.record.write(f"broken: LOST, the job was shown as {shown!r} without cause")
        return 1
    if "running" not in play.states or (not HAS_TROUBLE and len(at_work) < SUBTASKS):
        play.record.write("the job did not run")
        return 2
    play.record.write("held")
    return 0


async def main() -> int:
    """Start everything, play, and end all processes."""
    record = Record()
    with tempfile.TemporaryDirectory() as name:
        world = SoakWorld(1, plan_task, Resources(16_000, 32_000))
        world.host_replacement_s = DOWN_S
        await world.start(WORKERS, 0)
        publish_config(world)
        store = "{}:{}".format(*world.start_store())
        nodes = [NodeProcess(number, Path(name), world, store) for number in range(1, NODES + 1)]
        try:
            for node in nodes:
                await node.start()
            return await play_out(Play(world, nodes, record))
        finally:
            await asyncio.gather(*(node.end() for node in nodes))
            for node in nodes:
                for line in node.log.read_text(errors="replace").splitlines():
                    if JOB in line and ("given_up" in line or "job_failed" in line):
                        record.write(f"log: {line}")
            world.close()


def run_case() -> int:
    """Run the case; return 2 if anything else than the rule went wrong."""
    try:
        return asyncio.run(main())
    except Exception:
        traceback.print_exc()
        return 2


if __name__ == "__main__":
    sys.exit(run_case())
