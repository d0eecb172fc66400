"""A planned stop of a node's process, within the time that it is given."""

import asyncio
import os
from typing import Final

from tornado.httpserver import HTTPServer

from robinthread._internal.node.assembly import AssembledNode
from robinthread._internal.node.open_requests import OpenRequests
from robinthread._internal.node.stop_budget import StopBudget
from robinthread._internal.telemetry.event_log import EventLog

# How long callers are still served after a planned stop began: the balancer needs
# two misses, one a second, to send them elsewhere.
LINGER_S: Final = 3.5
# Most of the budget for which callers are served: the rest is for answers to what was read,
# which is given up 0.8 s after the store has stopped answering.
LINGER_SHARE: Final = 0.75
# Share of the grace time after which a process that has not ended ends at once.
LAST_SHARE: Final = 11 / 12


async def stop_node(
    assembled: AssembledNode,
    callers: HTTPServer,
    requests: OpenRequests,
    grace_s: float,
    events: EventLog,
) -> None:
    """Hand back what the node owns and answer what it has read, as far as time allows."""
    lag_s = assembled.lag.lag_s
    loop = asyncio.get_running_loop()
    # The end of the process cancels all tasks and waits for them, on this loop: a task that
    # does not end would be waited for until the kill.
    loop.call_later(max(0.0, grace_s * LAST_SHARE - lag_s), _end_at_once, events)
    budget = StopBudget(grace_s, lag_s, events)
    events.write("stopping", grace_s=grace_s, budget_ms=round(budget.budget_s * 1000))
    await asyncio.gather(assembled.node.stop(budget), _dismiss_callers(callers, requests, budget))
    events.flush_gathered(is_last=True)
    events.write(
        "stopped",
        took_ms=round((budget.budget_s - budget.left_s) * 1000, 1),
        parts_ms=budget.took_ms,
        left_undone=budget.unfinished_parts,
        given_up_count=requests.answer_all_early(),
    )


async def _dismiss_callers(callers: HTTPServer, requests: OpenRequests, budget: StopBudget) -> None:
    """Serve callers until the balancer has moved on, then answer what was read."""
    linger_s = min(LINGER_S, budget.left_s * LINGER_SHARE)
    await budget.run("callers", asyncio.sleep(linger_s))
    callers.stop()
    await budget.run("answers", requests.wait_until_none())


def _end_at_once(events: EventLog) -> None:
    waited_for = [getattr(task.get_coro(), "__qualname__", "") for task in asyncio.all_tasks()]
    events.write("end_forced", waited_for=waited_for)
    os._exit(1)
