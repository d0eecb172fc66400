"""Nodes are stopped in turn while consumers ask on channels that they keep: is a request cut?"""

import asyncio
import itertools
import json
import signal
from pathlib import Path
from typing import Any

from rig2.site import HOST, Node, Site, has_trouble, make_route, run_case

# 9.6 jobs a second of wtc-kandy, 2.6 times that in a burst, known for status_s (120 s): 2,995.
JOBS = 2500
HANDED_IN_AT_ONCE = 40
CONSUMERS = 30
ASKED_FOR_S = 2.0
# RULES.md, LOST: later than loss_slack_ms after its last byte was sent; until 1 s after grace_s.
LOSS_SLACK_S = 0.2
GRACE_S = 6.0


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
    ids = [f"{number:016x}" for number in range(JOBS)]
    left = iter(enumerate(ids))
    await asyncio.gather(*(_hand_in(site, left) for _ in range(HANDED_IN_AT_ONCE)))
    await asyncio.sleep(5)
    cut = []
    for node in site.nodes:
        cut += await _stop(site, node, ids)
    late = [one for one in cut if one["read"] and one["held_s"] > LOSS_SLACK_S]
    if not late:
        return ""
    by_node = {node.number: sum(one["node"] == node.number for one in late) for node in site.nodes}
    return (
        f"LOST: {len(late)} requests that were read whole got no answer, by node {by_node}; their "
        f"channels ended up to {max(one['held_s'] for one in late)} s after their last byte"
    )


async def _hand_in(site: Site, left: Any) -> None:
    body = {
        "spec": json.dumps({"cpu": 100, "work_s": 0.05}),
        "steps": [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 50}],
    }
    for number, job_id in left:
        await site.call(site.nodes[number % 3], "POST", f"/sheets/{job_id}", body)


async def _stop(site: Site, node: Node, ids: list[str]) -> list[dict[str, Any]]:
    """Stop a node as planned while consumers ask it; return the requests without an answer."""
    cut: list[dict[str, Any]] = []
    asking = [asyncio.create_task(_ask(site, node, ids[n:], cut)) for n in range(CONSUMERS)]
    await asyncio.sleep(ASKED_FOR_S)
    if has_trouble():
        site.tell("SIGTERM", node=node.number)
        node.signal(signal.SIGTERM)
        assert node.process is not None
        await asyncio.wait_for(node.process.wait(), GRACE_S + 1)
        site.tell("ended", node=node.number, status=node.process.returncode)
        await asyncio.sleep(0.2)
        await node.start()
        await site.wait_until_ready(node)
    for task in asking:
        task.cancel()
    await asyncio.gather(*asking, return_exceptions=True)
    return cut


async def _ask(site: Site, node: Node, ids: list[str], cut: list[dict[str, Any]]) -> None:
    """Ask for jobs one after another on one channel until it ends."""
    reader, writer = await asyncio.open_connection(node.ip, 8624)
    try:
        for job_id in itertools.cycle(ids):
            lines = (f"GET /sheets/{job_id} HTTP/1.1", f"Host: {HOST}", "X-Deadline-Ms: 3000")
            writer.write("\r\n".join((*lines, "", "")).encode())
            await writer.drain()
            sent_at_s = site.now_s
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                length = next(
                    int(line.partition(b":")[2])
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length")
                )
                await reader.readexactly(length)
            except (asyncio.IncompleteReadError, OSError) as error:
                # "Closing with unread bytes resets" (DEPLOY.md): a channel that ends without a
                # reset had all its bytes read.
                is_read = isinstance(error, asyncio.IncompleteReadError)
                held_s = round(site.now_s - sent_at_s, 3)
                cut.append({"node": node.number, "read": is_read, "held_s": held_s})
                site.tell("no answer", job=job_id, **cut[-1])
                return
    finally:
        writer.close()


if __name__ == "__main__":
    run_case(play)
