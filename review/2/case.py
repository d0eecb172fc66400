"""The subtasks of a wide job end on their workers while the store is down; see claim.txt."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.deployment import Deployment, Record, make_route
from review.standins.play import BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, play
from review.standins.store import StoreState
from review.standins.worker import Work

SERVICE = "tills"
JOB = "5c0e7a21d94b36f8"
COUNT = 3000
WORKERS = 3
WORK_S = 5.0
WORK = Work(WORK_S, cpu=60, mem_mb=64)
# A worker of 64 cores and 256 GB, as on the site.
CAPACITY = {"cpu": 64_000, "mem_mb": 262_144, "gpu": 0}
DOWN_S = 4.5
DONE_WITHIN_S = 60.0
# How long the workers are watched after the job's end.
WATCHED_S = 3.0


async def run(record: Record) -> int:
    """Play the case; return the exit code."""
    loop = asyncio.get_running_loop()
    async with Deployment(record, node_count=3) as deployment:
        route = make_route("till-price", SERVICE)
        deployment.publish_config(1, [route], [SERVICE])
        for _ in range(WORKERS):
            await deployment.add_worker(SERVICE, CAPACITY, lambda _task, _run: WORK)
        await deployment.start_nodes()
        owner = await deployment.wait_for_owner(SERVICE)
        step = {"count": COUNT, "cpu": WORK.cpu, "mem_mb": WORK.mem_mb, "estimate_ms": 5000}
        body = {"spec": "prices", "steps": [step]}
        answer = await deployment.call(owner, "POST", route, JOB, body)
        if answer is None or answer[0] != 200:
            return COULD_NOT_RUN
        ledger = deployment.ledger
        while len(ledger.runs) < COUNT:
            await asyncio.sleep(0.02)
        began_at_s = ledger.runs[0].began_at_s
        record.write(f"all {COUNT} subtasks have begun, within {loop.time() - began_at_s:.2f} s")
        if HAS_TROUBLE:
            await asyncio.sleep(max(0.0, began_at_s + WORK_S - 0.5 - loop.time()))
            record.write(f"the store is down for {DOWN_S} s (503), the first runs end in 0.5 s")
            deployment.store.state = StoreState.BUSY
            await asyncio.sleep(DOWN_S)
            deployment.store.state = StoreState.UP
            record.write("the store is back")
        state, until_s = "", loop.time() + DONE_WITHIN_S
        while state not in ("succeeded", "failed", "canceled") and loop.time() < until_s:
            await asyncio.sleep(1.0)
            answer = await deployment.call(deployment.nodes[0], "GET", route, JOB)
            state = "" if answer is None else answer[1].get("state", "")
        await asyncio.sleep(WATCHED_S)
        for worker in deployment.workers:
            starts = sum(seen.worker == worker.id for seen in ledger.runs)
            record.write(f"{worker.id}: {starts} starts, {worker.largest_backlog} ends at once")
        for node in deployment.nodes:
            count = len(node.read_events("run_not_there"))
            record.write(f"{node.name} has logged run_not_there {count} times")
        breaks = ledger.find_twice()
        record.write(f"{len(breaks)} starts break TWICE; the job is shown as {state!r}")
        record.list(breaks)
        return BROKEN if breaks else HELD


if __name__ == "__main__":
    sys.exit(play(__file__, run))
