"""The steward's store topic is down for some seconds: does it act on what it decided before?"""

import asyncio
import json
from pathlib import Path

from rig2.site import Site, has_trouble, make_route, run_case

JOB = "5c0e7a21d94b36f8"
WORKERS = 8
WAVE = 1
WAVE_MACHINES = 4
MAY_MISS = 1
# A subtask is at work, at 100 percent, this long after its start (``START_UP_S``).
AT_WORK_S = 0.6
# Days with an outage of part of the store (share 0.3) have it for 4.5 s.
DOWN_S = 4.5
HAND_IN_AFTER_S = 2.4
SETTLE_S = 8.0
ORDERS_TOPIC = "keyed.machine-orders"


async def play() -> str:
    """Play the case; return what was broken."""
    site = Site(Path(__file__).parent / "record.txt", nodes=3)
    try:
        return await _play(site)
    finally:
        await site.close()


async def _play(site: Site) -> str:
    for number in range(WORKERS):
        site.fleet.add("press", f"r{number // 4}")
    site.publish(1, [make_route("press", attempts=4)], ["press"])
    await site.start()
    await asyncio.sleep(3)
    if has_trouble():
        site.client.down_topics.add(ORDERS_TOPIC)
        site.tell("topic down", topic=ORDERS_TOPIC)
    machines = list(site.fleet.machines)[:WAVE_MACHINES]
    site.ask_wave(WAVE, machines, 10, WAVE_MACHINES)
    await asyncio.sleep(HAND_IN_AFTER_S)
    step = {
        "count": WORKERS,
        "cpu": 1000,
        "mem_mb": 256,
        "estimate_ms": 700,
        "long_running": True,
        "anti_affinity": 1,
        "may_miss": MAY_MISS,
    }
    body = {"spec": json.dumps({"cpu": 1000}), "steps": [step]}
    await site.hand_in("/sheets/", JOB, body)
    await asyncio.sleep(DOWN_S - HAND_IN_AFTER_S)
    site.client.down_topics.clear()
    site.tell("topic up")
    await asyncio.sleep(SETTLE_S)
    return _judge(site)


def _judge(site: Site) -> str:
    """Look for an upkeep or move that ends a subtask at work while ``MAY_MISS`` others are away.

    Others are away if such an order has ended them and they have not begun again.
    """
    away: set[str] = set()
    for event in site.events:
        if event["what"] == "start":
            away.discard(event["task"])
        is_order = event["what"] == "died" and event["how"] in ("upkeep", "move")
        if is_order and event["age_s"] > AT_WORK_S:
            if len(away) >= MAY_MISS:
                return (
                    f"AVAIL: at {event['t']} s the {event['how']} of {event['worker']} ends "
                    f"{event['task']}, at work for {event['age_s']} s, while {sorted(away)} "
                    f"are away by such orders; may_miss is {MAY_MISS}"
                )
            away.add(event["task"])
    return ""


if __name__ == "__main__":
    run_case(play)
