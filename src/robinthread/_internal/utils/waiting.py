"""Waiting for an event with a timeout."""

import asyncio


async def wait_for_event(event: asyncio.Event, wait_s: float) -> bool:
    """Wait up to ``wait_s`` seconds for ``event``; return whether it was set.

    ``asyncio.wait_for`` may swallow a cancellation that arrives as the event is
    set, and the task would keep running; a timeout context does not.
    """
    try:
        async with asyncio.timeout(wait_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
