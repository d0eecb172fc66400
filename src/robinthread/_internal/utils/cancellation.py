"""Difference between the cancellation of a task and a cancelled call inside it."""

import asyncio


def raise_if_cancelled(error: BaseException) -> None:
    """Raise a CancelledError again if the current task itself was cancelled.

    Work that was not cancelled from outside may have waited for something that was.  Such a
    CancelledError is an error like any other, and so this returns.
    """
    task = asyncio.current_task()
    if isinstance(error, asyncio.CancelledError) and (task is None or task.cancelling()):
        raise error
