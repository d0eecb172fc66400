"""Short plays on real processes: two nodes, a few hosts, one cause of late starts each."""

import asyncio
import json
import os
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.standins.job_host_standin import JobHostStandin, TaskPlan
from tests.lib.soak.callers import Caller, CallerTracker
from tests.lib.soak.node_process import NodeProcess
from tests.lib.soak.world import SoakWorld

NODES = 2
OPENED_WITHIN_S = 20.0
TASK_MILLICORES = 500
FIRST_JOB = f"{1:016x}"
JOBS_FROM = 2


@dataclass
class Play:
    """A world with its nodes, and what callers and hosts have shown so far."""

    world: SoakWorld
    nodes: list[NodeProcess]
    tracker: CallerTracker = field(default_factory=CallerTracker)

    def make_caller(self, seed: int) -> Caller:
        """Return a caller of the nodes."""
        return Caller(self.nodes, self.tracker, seed)

    def list_up(self) -> list[JobHostStandin]:
        """Return the hosts that are up."""
        return [host for host in self.world.hosts.hosts.values() if host.is_up]

    def count_runs(self, host_id: str) -> int:
        """Return the number of runs that began on a host."""
        return sum(run.host_id == host_id for run in self.world.hosts.ledger.runs)


@asynccontextmanager
async def open_play(
    hosts: int, capacity: Resources, work_s: float, before: Callable[[SoakWorld], None]
) -> AsyncIterator[Play]:
    """Start a world, whose tasks take ``work_s`` each, and its nodes; run ``before`` in between."""
    resources = Resources(TASK_MILLICORES, 10)

    def plan(task: TaskKey) -> TaskPlan:
        return TaskPlan(work_s, resources)

    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    world = SoakWorld(1, plan, capacity)
    await world.start(hosts, reserve=0)
    before(world)
    store = world.start_store()
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as name:
        folder = Path(os.environ.get("ROBINTHREAD_SOAK_LOGS") or name)
        nodes = [world.make_node(number, folder, store) for number in range(1, NODES + 1)]
        try:
            await asyncio.gather(*(node.begin() for node in nodes))
            yield Play(world, nodes)
        finally:
            await asyncio.gather(*(node.kill() for node in nodes))
            for node in nodes:
                node.store.refuse()
                node.machines.refuse()
            world.close()


def make_body(tasks: int, estimate_ms: float) -> str:
    """Return the body of a job of one step."""
    step = {"count": tasks, "cpu": TASK_MILLICORES, "mem_mb": 10, "estimate_ms": estimate_ms}
    return json.dumps({"spec": "text", "steps": [step]})


async def wait_until_served(play: Play) -> bool:
    """Return whether a job that is handed in ends within ``OPENED_WITHIN_S``."""
    try:
        async with asyncio.timeout(OPENED_WITHIN_S):
            await follow_job(play, FIRST_JOB, make_body(1, 300), seed=1)
    except TimeoutError:
        return False
    return True


async def follow_job(play: Play, job_id: str, body: str, seed: int) -> None:
    """Hand a job in and follow it to its end."""
    caller = play.make_caller(seed)
    await caller.hand_in(job_id, body)
    await caller.follow(job_id)


async def follow_jobs(play: Play, count: int, body: str, period_s: float, first: int = 0) -> None:
    """Hand jobs numbered from ``first`` in, one each ``period_s``, and follow them all."""

    async def follow(number: int) -> None:
        await asyncio.sleep(number * period_s)
        await follow_job(play, f"{JOBS_FROM + first + number:016x}", body, seed=number)

    await asyncio.gather(*map(follow, range(count)))
