"""A process whose stop is done and that has a task which refuses to end."""

import asyncio
import os
import sys
from types import SimpleNamespace

from tornado.httpserver import HTTPServer
from tornado.web import Application

from robinthread._internal.node.open_requests import OpenRequests
from robinthread._internal.node.stop_budget import StopBudget
from robinthread._internal.node.stopping import stop_node
from robinthread._internal.telemetry.event_log import EventLog

LONG_S = 60.0


async def refuse_to_end() -> None:
    """Go on for long in spite of every cancellation."""
    ends_at_s = asyncio.get_running_loop().time() + LONG_S
    while (left_s := ends_at_s - asyncio.get_running_loop().time()) > 0:
        try:
            await asyncio.sleep(left_s)
        except asyncio.CancelledError:
            continue


async def run(grace_s: float) -> None:
    stubborn = asyncio.create_task(refuse_to_end())

    async def stop(budget: StopBudget) -> None:
        await budget.run("orders", asyncio.sleep(0))

    assembled = SimpleNamespace(lag=SimpleNamespace(lag_s=0.0), node=SimpleNamespace(stop=stop))
    events = EventLog("n0", write=lambda line: os.write(1, line) and None)
    await stop_node(assembled, HTTPServer(Application()), OpenRequests(), grace_s, events)  # type: ignore[arg-type]
    assert not stubborn.done()


if __name__ == "__main__":
    asyncio.run(run(float(sys.argv[1])))
