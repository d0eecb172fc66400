"""Planned stop of a node's process within its grace time."""

import asyncio
import os
from typing import Final

from tornado.httpserver import HTTPServer

from robinthread._internal.node.assembly import AssembledNode
from robinthread._internal.node.open_requests import OpenRequests
from robinthread._internal.node.stop_budget import StopBudget
from robinthread._internal.telemetry.event_log import EventLog

# How long callers are served after the start of a planned stop: the load balancer needs two failed
# checks, one per second, before it sends them to other nodes.
LINGER_S: Final = 3.5
# Largest fraction of the budget for which callers are served.  The rest is for answers to requests
# already read, which fail 0.8 s after the store has stopped responding.
LINGER_SHARE: Final = 0.75
# Fraction of the grace time after which a process that is still running is ended by force.
FORCED_END_SHARE: Final = 11 / 12


async def stop_node(
    assembled: AssembledNode,
    callers: HTTPServer,
    requests: OpenRequests,
    grace_s: float,
    events: EventLog,
) -> None:
    """Release the pools of the node and answer the requests read so far, if time allows."""
    lag_s = assembled.lag.lag_s
    loop = asyncio.get_running_loop()
    # At the end of the process, the event loop cancels all tasks and waits for them: without this
    # timer, it would wait for a task that does not end until the kill.
    loop.call_later(max(0.0, grace_s * FORCED_END_SHARE - lag_s), _end_at_once, events)
    budget = StopBudget(grace_s, lag_s, events)
    events.write("stopping", grace_s=grace_s, budget_ms=round(budget.budget_s * 1000))
    await asyncio.gather(assembled.node.stop(budget), _drain_callers(callers, requests, budget))
    events.flush_gathered(is_last=True)
    events.write(
        "stopped",
        took_ms=round((budget.budget_s - budget.left_s) * 1000, 1),
        parts_ms=budget.took_ms,
        left_undone=budget.unfinished_parts,
        given_up_count=requests.answer_all_early(),
    )


async def _drain_callers(callers: HTTPServer, requests: OpenRequests, budget: StopBudget) -> None:
    """Serve callers until the balancer has moved them, then answer the remaining requests."""
    linger_s = min(LINGER_S, budget.left_s * LINGER_SHARE)
    await budget.run("callers", asyncio.sleep(linger_s))
    callers.stop()
    await budget.run("answers", requests.wait_until_none())


def _end_at_once(events: EventLog) -> None:
    waited_for = [getattr(task.get_coro(), "__qualname__", "") for task in asyncio.all_tasks()]
    events.write("end_forced", waited_for=waited_for)
    os._exit(1)
