"""Collection of the events of all daemons in one order."""

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from robinthread._internal.commands.client import Target, call, call_async
from robinthread._internal.results import FaultError
from robinthread._internal.timeline.chrome_trace import make_chrome_trace
from robinthread._internal.timeline.event import Event
from robinthread._internal.timeline.text import format_event


def run_timeline(target: Target, subjects: list[str], hall: str, chrome: str, is_json: bool) -> int:
    """Print the events in order, or write them to ``chrome`` for a browser's trace viewer."""
    status = call(target, "GetStatus", {})
    events, unreachable = asyncio.run(_gather(target, status, subjects))
    chosen = [event for event in events if not hall or event.hall == hall]
    if chrome:
        Path(chrome).write_bytes(msgspec.json.encode(make_chrome_trace(chosen)))
        print(f"{len(chosen)} events written to {chrome}")
    elif is_json:
        print(msgspec.json.encode(chosen).decode())
        return 0
    else:
        print("\n".join(format_event(event) for event in chosen))
    for name in unreachable:
        print(f"missing: {name} does not answer")
    for cut in status.cut_halls:
        print(f"cut off: {cut}; its events may be missing")
    return 0


async def _gather(
    target: Target, status: Any, subjects: list[str]
) -> tuple[list[Event], list[str]]:
    async def fetch_events(name: str, address: str) -> list[Event] | str:
        daemon_target = Target(address or target.address, target.token_file, target.ca_file)
        try:
            reply = await call_async(daemon_target, "GetTimeline", {"subjects": subjects})
        except FaultError:
            return name
        return list(_iter_events(reply))

    replies = await asyncio.gather(
        *(fetch_events(d.name, d.operator_address) for d in status.daemons)
    )
    events = [event for result in replies if not isinstance(result, str) for event in result]
    return sorted(events, key=lambda event: event.stamp), [p for p in replies if isinstance(p, str)]


def _iter_events(reply: Any) -> Iterable[Event]:
    return (
        Event(
            event.stamp,
            event.next_offset,
            event.daemon,
            event.hall,
            event.kind,
            event.subject,
            event.detail,
            event.duration_ms,
        )
        for event in reply.events
    )
