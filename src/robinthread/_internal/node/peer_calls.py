"""Asking other nodes."""

from typing import Final, Protocol, TypeVar

import msgspec

T = TypeVar("T")

# A peer answers from memory within some milliseconds; one that runs five times
# slower needs some 50.
REQUEST_TIMEOUT_S: Final = 0.4


class PeerUnreachableError(Exception):
    """A peer gave no usable answer; it may have done what it was asked."""


class PeerUnsentError(PeerUnreachableError):
    """The question did not reach the peer."""


class PeerCalls(Protocol):
    """Questions to other nodes; each ends in a bounded time."""

    async def send_request(
        self,
        address: str,
        request: msgspec.Struct,
        response_type: type[T],
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> T:
        """Ask a node; raise ``PeerUnreachableError``."""
