"""Waiting with a bound."""

import asyncio


async def wait_for_event(event: asyncio.Event, wait_s: float) -> bool:
    """Wait up to ``wait_s`` seconds for ``event``; return whether it was set."""
    try:
        await asyncio.wait_for(event.wait(), wait_s)
    except TimeoutError:
        return False
    return True
