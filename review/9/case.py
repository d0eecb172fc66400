"""The subtasks of a time that is over are all run again after the pool has changed its owner.

Nodes are real processes, started with the commands of the deploy file.  Store, machines and
workers are the project's stand-ins, served over HTTP on loopback by this process.
"""

import asyncio
import itertools
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
NODES: Final = 3
WORKERS: Final = 8
CORES: Final = 16
# The job that is judged: so many times, each of so many small subtasks, one each ``INTERVAL_S``.
JOB: Final = "7be20c95f1d8436a"
TIMES: Final = 8
COUNT: Final = 250
INTERVAL_S: Final = 5.0
WORK_S: Final = 12.0
# One subtask of the first time takes longer than the others.
LONG_S: Final = 25.0
# Other jobs with times, handed in before and due later, more than the workers can take at once.
OTHERS: Final = 8
OTHER_PREFIX: Final = "4d"
OTHER_CORES: Final = 7
OTHER_WORK_S: Final = 20.0
OTHERS_DUE_S: Final = 11.0
# The machine that owns the pool is killed and starts again, once; the pages have 3.5 s.
KILL_AT_S: Final = 13.0
DOWN_S: Final = 3.5
PLAY_S: Final = 45.0
READY_MAX_S: Final = 40.0

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
        with self.log.open("ab") as log:
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


def plan_task(task: TaskKey) -> TaskPlan:
    """Return how long a subtask works, and on how many cores."""
    if task.job_id != JOB:
        return TaskPlan(OTHER_WORK_S, Resources(1000 * OTHER_CORES, 10))
    is_long = (task.occurrence, task.index) == (0, 0)
    return TaskPlan(LONG_S if is_long else WORK_S, Resources(10, 10))


class Play:
    """One play: the jobs, the kill of the pool's owner, and the runs that workers began."""

    def __init__(self, world: SoakWorld, nodes: list[NodeProcess], record: Record) -> None:
        self.world, self.nodes, self.record = world, nodes, record
        self._noted: dict[int, str] = {}

    def note_runs(self) -> None:
        """Record the runs of the judged job that have begun or ended since the last call."""
        for number, run in enumerate(self.world.hosts.ledger.runs):
            if run.task.job_id != JOB:
                continue
            state = f"ended {run.end}" if run.end else "began"
            if self._noted.get(number) != state:
                self._noted[number] = state
                name = f"{run.task.job_id}.{run.task.occurrence}.{run.task.step}.{run.task.index}"
                self.record.write(f"worker {run.host_id}: {name} run {run.number} {state}")

    async def follow(self) -> None:
        """Note runs until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            self.note_runs()

    def find_owner(self) -> NodeProcess | None:
        """Return the node that opened the pool last, by its log."""
        opened: list[tuple[float, NodeProcess]] = []
        for node in self.nodes:
            for line in node.log.read_text(errors="replace").splitlines():
                if '"pool_opened"' in line and f'"{POOL}"' in line:
                    opened.append((json.loads(line)["at"], node))
        return max(opened, key=lambda each: each[0])[1] if opened else None

    async def kill_owner(self) -> bool:
        """Kill the process that owns the pool and start it again; return whether there is one."""
        owner = self.find_owner()
        if owner is None:
            return False
        self.record.write(f"kill of {owner.ip}, which owns the pool")
        await owner.end()
        await asyncio.sleep(DOWN_S)
        await owner.start()
        self.record.write(f"start of {owner.ip}")
        return True

    def list_again(self) -> list[str]:
        """Describe the starts that follow a run of the same subtask that ended done and noted."""
        by_task: dict[TaskKey, list[LedgerRun]] = {}
        for run in self.world.hosts.ledger.runs:
            by_task.setdefault(run.task, []).append(run)
        found = []
        for task, runs in by_task.items():
            for earlier, later in itertools.pairwise(sorted(runs, key=lambda run: run.began_at_s)):
                if earlier.end == "done" and earlier.is_acknowledged:
                    name = f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"
                    found.append(
                        f"{name} run {later.number} on {later.host_id} begins "
                        f"{later.began_at_s - (earlier.ended_at_s or 0.0):.2f} s after run "
                        f"{earlier.number} on {earlier.host_id} ended done; note was taken of that"
                    )
        return found


async def wait_until_ready(nodes: list[NodeProcess]) -> bool:
    """Wait until all nodes are ready; return whether they are."""
    ends_at_s = time.monotonic() + READY_MAX_S
    while time.monotonic() < ends_at_s:
        found = await asyncio.gather(*(call(n.ip, n.ready, "GET", "/ready") for n in nodes))
        if all(status == 200 for status, _ in found):
            return True
        await asyncio.sleep(0.2)
    return False


async def hand_in(play: Play, job: str, body: dict[str, Any]) -> bool:
    """Hand a job in until it is accepted."""
    for number in range(20):
        node = play.nodes[number % len(play.nodes)]
        path = QUEUE_PATH + job
        status, answer = await call(node.ip, node.front, "POST", path, json.dumps(body))
        play.record.write(f"POST {job} at n{number % len(play.nodes) + 1}: {status} {answer}")
        if 200 <= status < 300:
            return True
        await asyncio.sleep(0.5)
    return False


def make_body(
    count: int, cpu: int, work_s: float, times: int, start_at_ms: int, interval_s: float
) -> dict[str, Any]:
    """Return a job that runs at times."""
    step = {"count": count, "cpu": cpu, "mem_mb": 10, "estimate_ms": int(1000 * work_s)}
    return {
        "spec": "work",
        "steps": [step],
        "max_runs": times,
        "start_at_ms": start_at_ms,
        "interval_ms": int(1000 * interval_s),
    }


async def play_out(play: Play) -> int:
    """Play; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    if not await wait_until_ready(play.nodes):
        play.record.write("the nodes did not become ready")
        return 2
    # All workers are known a while after the nodes are ready.
    await asyncio.sleep(2.0)
    began_at_s = time.monotonic()
    now_ms = int(1000 * time.time())
    due_ms = now_ms + int(1000 * OTHERS_DUE_S)
    other = make_body(COUNT, 1000 * OTHER_CORES, OTHER_WORK_S, 2, due_ms, 60.0)
    for number in range(OTHERS):
        if not await hand_in(play, f"{OTHER_PREFIX}{number:014x}", other):
            return 2
    if not await hand_in(play, JOB, make_body(COUNT, 10, WORK_S, TIMES, now_ms, INTERVAL_S)):
        return 2
    following = asyncio.create_task(play.follow())
    await asyncio.sleep(max(0.0, began_at_s + KILL_AT_S - time.monotonic()))
    begun = {run.task.occurrence for run in play.world.hosts.ledger.runs if run.task.job_id == JOB}
    if not {0, 1, 2} <= begun or (HAS_TROUBLE and not await play.kill_owner()):
        play.record.write("the job's first three times did not begin, or the pool has no owner")
        return 2
    await asyncio.sleep(max(0.0, began_at_s + PLAY_S - time.monotonic()))
    following.cancel()
    with suppress(asyncio.CancelledError):
        await following
    play.note_runs()
    node = play.nodes[0]
    status, answer = await call(node.ip, node.front, "GET", QUEUE_PATH + JOB)
    play.record.write(f"GET {JOB}: {status} {answer}")
    again = play.list_again()
    for text in again[:20]:
        play.record.write(text)
    if again:
        play.record.write(f"broken: TWICE, {len(again)} subtasks were started again")
        return 1
    play.record.write("held")
    return 0


async def main() -> int:
    """Start everything, play, and end all processes."""
    record = Record()
    with tempfile.TemporaryDirectory() as name:
        world = SoakWorld(1, plan_task, Resources(1000 * CORES, 32_000))
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
                for line in node.log.read_text(errors="replace").splitlines()[:400]:
                    if "pool_opened" in line or "pool_taken" in line:
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
