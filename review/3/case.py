"""A timed job's progress outgrows a record of the store; see claim.txt."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.deployment import Deployment, Record, make_route
from review.standins.ledger import Ledger
from review.standins.play import BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, play
from review.standins.worker import Work

SERVICE = "tills"
TIMED_JOB = "00000000000000aa"
COUNT = 500
INTERVAL_MS = 1000
# Without the trouble the job has so few times that its progress stays small.
TIMES = 60 if HAS_TROUBLE else 15
WORK = Work(0.3, cpu=100, mem_mb=64)
# A worker of 64 cores and 256 GB, as on the site.
CAPACITY = {"cpu": 64_000, "mem_mb": 262_144, "gpu": 0}
WORKERS = 3
TRAFFIC_S = 66.0
# An ordinary job each so often; the last one well before the traffic ends.
JOB_EACH_S = 4.0
LAST_JOB_S = 56.0
# LOST: "for 3 s, a job has nothing running while a subtask's turn has come".
NOTHING_RUNNING_MAX_S = 3.0
FINISH_S = 14.0


async def run(record: Record) -> int:
    """Play the case; return the exit code."""
    loop = asyncio.get_running_loop()
    async with Deployment(record, node_count=3) as deployment:
        route = make_route("till-price", SERVICE)
        deployment.publish_config(1, [route], [SERVICE])
        for _ in range(WORKERS):
            await deployment.add_worker(SERVICE, CAPACITY, lambda _task, _run: WORK)
        await deployment.start_nodes()
        await deployment.wait_for_owner(SERVICE)
        began_at_s = loop.time()
        times = {"start_at_ms": int(time.time() * 1000), "interval_ms": INTERVAL_MS}
        if not await _hand_in(deployment, route, TIMED_JOB, COUNT, {"max_runs": TIMES, **times}):
            return COULD_NOT_RUN
        accepted: dict[str, float] = {}
        while loop.time() < began_at_s + TRAFFIC_S:
            await asyncio.sleep(JOB_EACH_S)
            job = f"{len(accepted) + 1:016x}"
            is_due = loop.time() < began_at_s + LAST_JOB_S
            if is_due and await _hand_in(deployment, route, job, 6, {}):
                accepted[job] = loop.time()
            rejected = deployment.store.rejected
            first = f", first {rejected[0]}" if rejected else ""
            record.write(
                f"{len(deployment.ledger.runs)} starts so far; "
                f"{len(rejected)} appends over the store's limits{first}"
            )
        await asyncio.sleep(FINISH_S)
        breaks = []
        for job, accepted_at_s in accepted.items():
            answer = await deployment.call(deployment.nodes[0], "GET", route, job)
            state = "" if answer is None else answer[1].get("state", "")
            waited_s = _get_wait_s(deployment.ledger, job, accepted_at_s, loop.time())
            if waited_s > NOTHING_RUNNING_MAX_S:
                breaks.append(f"{job}: nothing ran for {waited_s:.1f} s, shown as {state!r}")
        for worker in deployment.workers:
            present = sum(
                seen.worker == worker.id and seen.ended_at_s is None
                for seen in deployment.ledger.runs
            )
            record.write(f"{worker.id} runs {present} subtasks now, with room for 640")
        for node in deployment.nodes:
            for event in node.read_events("journal_stalled")[:1]:
                record.write(f"{node.name} has logged {event}")
        record.write(f"{len(breaks)} of {len(accepted)} ordinary jobs break LOST")
        record.list(breaks)
        return BROKEN if breaks else HELD


async def _hand_in(
    deployment: Deployment, route: dict, job: str, count: int, times: dict[str, int]
) -> bool:
    """Hand a job in; return whether it was accepted."""
    step = {"count": count, "cpu": WORK.cpu, "mem_mb": WORK.mem_mb, "estimate_ms": 300}
    body = {"spec": "prices", "steps": [step], **times}
    answer = await deployment.call(deployment.nodes[0], "POST", route, job, body)
    return answer is not None and answer[0] == 200


def _get_wait_s(ledger: Ledger, job: str, accepted_at_s: float, now_s: float) -> float:
    """Return how long a job waited for its first start."""
    starts = (seen.began_at_s for seen in ledger.runs if seen.task.startswith(f"{job}."))
    return min(starts, default=now_s) - accepted_at_s


if __name__ == "__main__":
    sys.exit(play(__file__, run))
