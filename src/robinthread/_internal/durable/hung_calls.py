"""Calls of the store that never return."""

import asyncio
from collections.abc import Awaitable
from typing import Final, TypeVar

from robinthread._internal.durable.errors import StoreNoAnswerError

# A call that outlasts its own timeout by this much will never return.
HANG_MARGIN_S: Final = 0.5

T = TypeVar("T")


async def end_within(timeout_s: float, call: Awaitable[T]) -> T:
    """Return a call's result; raise ``StoreNoAnswerError`` if it hangs.

    ``timeout_s`` is the time in which the call should end by itself.
    """
    try:
        async with asyncio.timeout(timeout_s + HANG_MARGIN_S):
            return await call
    except TimeoutError as error:
        raise StoreNoAnswerError(f"the call hung for {timeout_s + HANG_MARGIN_S:.1f} s") from error
