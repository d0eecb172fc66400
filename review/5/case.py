"""One job has many times that are due already: do the processes still answer for other jobs?"""

import asyncio
import json
import os
import time
from pathlib import Path

from rig2.site import Site, has_trouble, make_route, run_case

BIG = "a" * 16
# A schedule of one run a second that began 5.8 days ago; without the disruption it begins now.
TIMES = 500_000
INTERVAL_MS = 1000
WORK = {"spec": json.dumps({"cpu": 500, "work_s": 0.5})}
STEP = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 500}
SMALL_JOBS = 20
MEMORY_MB = 300
FINISH_S = 14


async def play() -> str:
    """Play the case; return what was broken."""
    site = Site(Path(__file__).parent / "record.txt", nodes=3)
    try:
        return await _play(site)
    finally:
        await site.close()


async def _play(site: Site) -> str:
    for number in range(8):
        site.fleet.add("press", f"r{number // 4}")
    site.publish(1, [make_route("press")], ["press"])
    await site.start()
    await asyncio.sleep(2)
    ids = [f"{number:016x}" for number in range(SMALL_JOBS)]
    for job_id in ids:
        await site.hand_in("/sheets/", job_id, WORK | {"steps": [STEP]})
    now_ms = int(time.time() * 1000)
    start_at_ms = now_ms - TIMES * INTERVAL_MS if has_trouble() else now_ms
    timed = {"max_runs": TIMES, "start_at_ms": start_at_ms, "interval_ms": INTERVAL_MS}
    await site.hand_in("/sheets/", BIG, WORK | {"steps": [STEP]} | timed)
    await asyncio.sleep(FINISH_S)
    return await _judge(site, ids)


async def _judge(site: Site, ids: list[str]) -> str:
    """Ask for each job, at another node after each failed try, and look at the processes."""
    unanswered = []
    for number, job_id in enumerate(ids[:4]):
        if not await _has_answer(site, number, job_id):
            unanswered.append(job_id)
    used_mb = {node.number: _read_memory_mb(node.process) for node in site.nodes}
    site.tell("processes", used_mb=used_mb)
    over = [number for number, used in used_mb.items() if used > MEMORY_MB]
    if not unanswered:
        return ""
    return (
        f"LOST: {len(unanswered)} of 4 accepted jobs get no answer from any node, {FINISH_S} s "
        f"after the last job; memory in MB {used_mb}, over {MEMORY_MB} at {over}"
    )


async def _has_answer(site: Site, number: int, job_id: str) -> bool:
    for attempt in range(len(site.nodes)):
        node = site.nodes[(number + attempt) % len(site.nodes)]
        status, answer = await site.call(node, "GET", f"/sheets/{job_id}")
        if status == 200 and answer.get("state") == "succeeded":
            return True
    return False


def _read_memory_mb(process: asyncio.subprocess.Process | None) -> int:
    if process is None or process.returncode is not None:
        return 0
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") // 2**20


if __name__ == "__main__":
    run_case(play)
