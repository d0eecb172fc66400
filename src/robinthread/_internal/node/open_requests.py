"""Requests of callers that have been read but not answered yet."""

from typing import Protocol


class Answerable(Protocol):
    """A request that can be answered before it is fully processed."""

    def answer_early(self) -> None:
        """Answer now with the state known so far."""


class OpenRequests:
    """Tracks the requests that are in progress.

    Once ``is_closing`` is set, responses tell callers that their connection ends.
    """

    def __init__(self) -> None:
        self.is_closing = False
        self._is_given_up = False
        self._open: set[Answerable] = set()

    def begin(self, request: Answerable) -> bool:
        """Add a request that has been read; return False if it was answered early at once."""
        self._open.add(request)
        if self._is_given_up:
            request.answer_early()
        return not self._is_given_up

    def end(self, request: Answerable) -> None:
        """Remove a request that has been answered."""
        self._open.discard(request)

    def answer_all_early(self) -> int:
        """Answer all open requests with the state known so far; return their number.

        Requests that are read later are answered in the same way at once.
        """
        self._is_given_up = True
        left = list(self._open)
        for request in left:
            request.answer_early()
        return len(left)
