"""Waiting with a bound."""

import asyncio


async def wait_for_event(event: asyncio.Event, wait_s: float) -> bool:
    """Wait up to ``wait_s`` seconds for ``event``; return whether it was set.

    ``asyncio.wait_for`` may swallow a cancellation that comes as the event is
    set, and the task would live on; a timeout context does not.
    """
    try:
        async with asyncio.timeout(wait_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
