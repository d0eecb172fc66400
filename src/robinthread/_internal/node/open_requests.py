"""Callers' requests that were read and not answered yet."""

import asyncio
from typing import Protocol


class Answerable(Protocol):
    """A request that can be answered before its work is done."""

    def answer_early(self) -> None:
        """Answer now with what is known."""


class OpenRequests:
    """The requests under way."""

    def __init__(self) -> None:
        self._open: set[Answerable] = set()
        self._none_open = asyncio.Event()
        self._none_open.set()

    def begin(self, request: Answerable) -> None:
        """Note a request that was read."""
        self._open.add(request)
        self._none_open.clear()

    def end(self, request: Answerable) -> None:
        """Note a request that was answered."""
        self._open.discard(request)
        if not self._open:
            self._none_open.set()

    async def wait_until_none(self) -> None:
        """Wait until all are answered."""
        await self._none_open.wait()

    def answer_all_early(self) -> int:
        """Answer what is left with what is known; return how many these were."""
        left = list(self._open)
        for request in left:
            request.answer_early()
        return len(left)
