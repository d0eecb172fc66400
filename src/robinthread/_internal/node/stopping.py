"""Planned stop of a node's process within its grace time."""

import asyncio
import os
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from robinthread._internal.node.assembly import AssembledNode
from robinthread._internal.node.open_requests import OpenRequests
from robinthread._internal.node.stop_budget import StopBudget
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.draining_server import DrainingServer

# How long callers are served after the start of a planned stop: the load balancer needs two failed
# checks, one per second, before it sends them to other nodes.
LINGER_S: Final = 3.5
# Largest fraction of the budget for which callers are served.  The rest is for answers to requests
# already read, which fail 0.8 s after the store has stopped responding.
LINGER_SHARE: Final = 0.75
# Part of that time in which connections end after their next response, so that callers open new
# ones, which the load balancer sends to other nodes.
NOTICE_S: Final = 1.0
# Longest wait for the last responses to be written, once all requests have been answered.
CLOSE_MAX_S: Final = 0.1
# Fraction of the grace time after which a process that is still running is ended by force.
FORCED_END_SHARE: Final = 11 / 12


@dataclass(frozen=True, slots=True)
class NodeServers:
    """HTTP servers of a node: that of its callers, and those of nodes, balancer and metrics."""

    callers: DrainingServer
    others: list[DrainingServer] = field(default_factory=list)


async def stop_node(
    assembled: AssembledNode,
    servers: NodeServers,
    requests: OpenRequests,
    grace_s: float,
    events: EventLog,
) -> None:
    """Release the pools of the node and answer the requests read so far, if time allows.

    No request is read afterwards: all listeners and connections are closed.
    """
    lag_s = assembled.lag.lag_s
    loop = asyncio.get_running_loop()
    # Whatever the rest waits for, the process ends before it is killed.
    loop.call_later(max(0.0, grace_s * FORCED_END_SHARE - lag_s), _end_at_once, events)
    budget = StopBudget(grace_s, lag_s, events)
    events.write("stopping", grace_s=grace_s, budget_ms=round(budget.budget_s * 1000))
    await asyncio.gather(
        assembled.node.stop(budget), _drain_callers(servers.callers, requests, budget)
    )
    given_up_count = requests.answer_all_early()
    unanswered_count = await _close_all([servers.callers, *servers.others])
    events.flush_gathered(is_last=True)
    events.write(
        "stopped",
        took_ms=round((budget.budget_s - budget.left_s) * 1000, 1),
        parts_ms=budget.took_ms,
        left_undone=budget.unfinished_parts,
        given_up_count=given_up_count,
        unanswered_count=unanswered_count,
    )


async def _drain_callers(
    callers: DrainingServer, requests: OpenRequests, budget: StopBudget
) -> None:
    """Serve callers until the balancer has moved them, then answer the remaining requests."""
    linger_s = min(LINGER_S, budget.left_s * LINGER_SHARE)
    await budget.run("callers", _linger(linger_s, callers, requests))
    await budget.run("answers", callers.drain())


async def _linger(linger_s: float, callers: DrainingServer, requests: OpenRequests) -> None:
    """Serve for ``linger_s``; at the end of it, close each connection after its response."""
    notice_s = min(NOTICE_S, linger_s)
    await asyncio.sleep(linger_s - notice_s)
    requests.is_closing = True
    callers.close_after_response()
    await asyncio.sleep(notice_s)


async def _close_all(servers: Sequence[DrainingServer]) -> int:
    """Close all listeners and idle connections; return how many connections are left open."""
    drains = [asyncio.ensure_future(server.drain()) for server in servers]
    _, pending = await asyncio.wait(drains, timeout=CLOSE_MAX_S)
    for drain in pending:
        drain.cancel()
    return sum(server.open_count for server in servers)


def _end_at_once(events: EventLog) -> None:
    waited_for = [getattr(task.get_coro(), "__qualname__", "") for task in asyncio.all_tasks()]
    events.write("end_forced", waited_for=waited_for)
    os._exit(1)
