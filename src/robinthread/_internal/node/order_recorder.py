"""Writes the record of the machines that a steward orders."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Final

from robinthread._internal.durable.errors import StoreFencedError
from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.order_records import OrderTarget, make_orders_record

# Longest wait for the record of orders.  A later step of the steward decides them anew.
RECORD_WAIT_MAX_S: Final = 0.5

Targets = Mapping[str, OrderTarget]
Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[Any]]


class OrderRecorder:
    """Keeps the record in the store that names the machines which may be ordered.

    ``recorded`` are the machines, with their targets, that the store certainly has.  ``spawn``
    runs a write in the background; ``report_fenced`` is called if a later steward has fenced it.
    """

    def __init__(
        self, journal: Journal, spawn: Spawn, report_fenced: Callable[[str], None]
    ) -> None:
        self._journal = journal
        self._spawn = spawn
        self._report_fenced = report_fenced
        self._writing: asyncio.Task[Any] | None = None
        self.recorded: Targets = {}

    @property
    def is_writing(self) -> bool:
        """Return whether a record of orders is being written."""
        return self._writing is not None and not self._writing.done()

    async def record(self, targets: Targets) -> bool:
        """Write a record unless one has these machines; return whether the store has it.

        It does not if the write takes over ``RECORD_WAIT_MAX_S``; the write then continues.
        """
        if not self._has(targets):
            if not self.is_writing:
                self._writing = self._spawn(self._write(targets))
            assert self._writing is not None
            await asyncio.wait({self._writing}, timeout=RECORD_WAIT_MAX_S)
        return self._has(targets)

    def empty(self) -> None:
        """Write an empty record in the background; those of later orders follow it."""
        self.recorded = {}
        self._spawn(self._write_empty())

    def _has(self, targets: Targets) -> bool:
        return targets.items() <= self.recorded.items()

    async def _write(self, targets: Targets) -> None:
        if await self._append(targets):
            self.recorded = targets

    async def _write_empty(self) -> None:
        await self._append({})

    async def _append(self, targets: Targets) -> bool:
        try:
            await self._journal.write([make_orders_record(targets)])
        except StoreFencedError:
            self._report_fenced("StoreFencedError")
            return False
        return True
