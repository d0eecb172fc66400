"""A job accepted with three attempts is shown as failed after one; see claim.txt."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.deployment import Deployment, Node, Record, make_route
from review.standins.play import BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, play
from review.standins.worker import Work

SERVICE = "tills"
JOB = "5c0e7a21d94b36f8"
ATTEMPTS = 3
WORK_S = 15.0
# A worker of 64 cores and 256 GB, as on the site.
CAPACITY = {"cpu": 64_000, "mem_mb": 262_144, "gpu": 0}
GRACE_S = 6.0
# `config_apply_ms` of the site, and half a second more.
APPLIED_S = 2.5
DONE_WITHIN_S = 30.0


def plan_work(_task: str, run_number: int) -> Work:
    """Return the work of a run: the first one fails by the subtask's own fault."""
    work_s, how = (WORK_S, "failed") if run_number == 1 else (1.0, "done")
    return Work(work_s, how, cpu=4600, mem_mb=1700)


async def run(record: Record) -> int:
    """Play the case; return the exit code."""
    loop = asyncio.get_running_loop()
    async with Deployment(record, node_count=3) as deployment:
        route = make_route("till-price", SERVICE, ATTEMPTS)
        other = make_route("stock-check", SERVICE, ATTEMPTS)
        deployment.publish_config(1, [route, other], [SERVICE])
        for _ in range(2):
            await deployment.add_worker(SERVICE, CAPACITY, plan_work)
        await deployment.start_nodes()
        owner = await deployment.wait_for_owner(SERVICE)
        record.write(f"{owner.name} owns {SERVICE}")
        step = {"count": 1, "cpu": 4600, "mem_mb": 1700, "estimate_ms": 15000}
        body = {"spec": "prices", "steps": [step]}
        answer = await deployment.call(deployment.nodes[0], "POST", route, JOB, body)
        if answer is None or answer[0] != 200:
            return COULD_NOT_RUN
        while not deployment.ledger.runs:
            await asyncio.sleep(0.02)
        began_at_s = deployment.ledger.runs[0].began_at_s
        record.write(f"run 1 has begun and will fail after {WORK_S} s")
        if HAS_TROUBLE:
            await asyncio.sleep(1.0)
            deployment.publish_config(2, [other], [SERVICE])
            await asyncio.sleep(APPLIED_S)
            await _restart(record, owner)
            taker = await deployment.wait_for_owner(SERVICE, besides=owner.name)
            record.write(f"{taker.name} owns {SERVICE}")
            deployment.publish_config(3, [route, other], [SERVICE])
        await asyncio.sleep(max(0.0, began_at_s + WORK_S - 2.0 - loop.time()))
        record.write("run 1 fails in 2 s")
        state, until_s = "", loop.time() + DONE_WITHIN_S
        while state not in ("succeeded", "failed", "canceled") and loop.time() < until_s:
            answer = await deployment.call(deployment.nodes[0], "GET", route, JOB)
            state = "" if answer is None else answer[1].get("state", "")
            await asyncio.sleep(1.0)
        for seen in deployment.ledger.runs:
            record.write(f"{seen.task} run {seen.run} on {seen.worker} ended {seen.how!r}")
        failures = sum(seen.how == "failed" for seen in deployment.ledger.runs)
        record.write(f"{failures} of {ATTEMPTS} attempts failed; the job is shown as {state!r}")
        return BROKEN if state == "failed" and failures < ATTEMPTS else HELD


async def _restart(record: Record, node: Node) -> None:
    """Stop a node as planned and start it again."""
    record.write(f"{node.name} is stopped (SIGTERM) and started again")
    assert node.process is not None
    node.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(node.process.wait(), GRACE_S)
    except TimeoutError:
        await node.kill()
    await node.start()


if __name__ == "__main__":
    sys.exit(play(__file__, run))
