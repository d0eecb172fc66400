"""Protocol of requests to other nodes, and their errors."""

from typing import Final, Protocol, TypeVar

import msgspec

T = TypeVar("T")

# A peer responds from memory within a few milliseconds, or about 50 ms when it runs five times
# slower.
REQUEST_TIMEOUT_S: Final = 0.4


class PeerUnreachableError(Exception):
    """No usable response from a peer, which may still have processed the request."""


class PeerUnsentError(PeerUnreachableError):
    """The request was not sent to the peer."""


class PeerCalls(Protocol):
    """Sends requests to other nodes; each call ends within its timeout."""

    async def send_request(
        self,
        address: str,
        request: msgspec.Struct,
        response_type: type[T],
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> T:
        """Return a node's response, decoded as ``response_type``.

        Raise ``PeerUnsentError`` if the request did not reach the node, and
        ``PeerUnreachableError`` if there is no usable response within ``timeout_s``.
        """
