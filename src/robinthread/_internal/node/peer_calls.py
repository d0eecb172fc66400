"""Asking other nodes."""

from typing import Protocol, TypeVar

import msgspec

T = TypeVar("T")


class PeerUnreachableError(Exception):
    """A peer gave no usable answer."""


class PeerCalls(Protocol):
    """Questions to other nodes; each ends in a bounded time."""

    async def ask(
        self, address: str, path: str, question: msgspec.Struct, answer_type: type[T]
    ) -> T:
        """Ask a node; raise ``PeerUnreachableError``."""
