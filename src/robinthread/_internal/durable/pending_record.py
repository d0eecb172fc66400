"""Records that wait for their append, and the end of that wait."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from robinthread._internal.durable.errors import StoreError, StoreNoAnswerError
from robinthread._internal.durable.store import KeyedRecord


@dataclass
class PendingRecord:
    """A record whose caller awaits ``done``: its offset, or a ``StoreError``.

    ``deadline_s`` is a time of the event loop's clock.  ``timer`` ends the wait at the time by
    which the record must be sent, or must have a response if it was sent.
    """

    record: KeyedRecord
    deadline_s: float
    done: asyncio.Future[int] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    timer: asyncio.TimerHandle | None = None


def resolve(entry: PendingRecord, offset: int) -> None:
    """Pass a record's offset to its caller."""
    cancel_timer(entry)
    if not entry.done.done():
        entry.done.set_result(offset)


def fail_batch(batch: Sequence[PendingRecord], error: StoreError) -> None:
    """Raise an error at the callers of all records of a batch that still wait."""
    for entry in batch:
        cancel_timer(entry)
        if not entry.done.done():
            entry.done.set_exception(error)


def end_as_unknown(entry: PendingRecord) -> None:
    """Raise ``StoreNoAnswerError`` at the caller of a record that was sent."""
    fail_batch([entry], StoreNoAnswerError("the record was sent, with no response in time"))


def cancel_timer(entry: PendingRecord) -> None:
    """Cancel a record's timer, if it has one."""
    if entry.timer is not None:
        entry.timer.cancel()
