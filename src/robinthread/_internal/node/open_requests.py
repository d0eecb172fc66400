"""Requests of callers that have been read but not answered yet."""

import asyncio
from typing import Protocol


class Answerable(Protocol):
    """A request that can be answered before it is fully processed."""

    def answer_early(self) -> None:
        """Answer now with the state known so far."""


class OpenRequests:
    """Tracks the requests that are in progress."""

    def __init__(self) -> None:
        self._open: set[Answerable] = set()
        self._none_open = asyncio.Event()
        self._none_open.set()

    def begin(self, request: Answerable) -> None:
        """Add a request that has been read."""
        self._open.add(request)
        self._none_open.clear()

    def end(self, request: Answerable) -> None:
        """Remove a request that has been answered."""
        self._open.discard(request)
        if not self._open:
            self._none_open.set()

    async def wait_until_none(self) -> None:
        """Wait until no request is open."""
        await self._none_open.wait()

    def answer_all_early(self) -> int:
        """Answer all open requests with the state known so far; return their number."""
        left = list(self._open)
        for request in left:
            request.answer_early()
        return len(left)
