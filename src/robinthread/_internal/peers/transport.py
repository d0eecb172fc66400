"""Interface of the transport of frames between daemons."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

SendFunction = Callable[[str, bytes], None]
ReceiveFunction = Callable[[], Awaitable[bytes]]


class TransportClosedError(Exception):
    """The transport was closed while a receiver waited for a frame."""


@dataclass(frozen=True)
class PeerTransport:
    """Best-effort transport: ``send(address, data)`` may lose a frame without an error.

    ``receive`` raises ``TransportClosedError`` after ``close``.
    """

    address: str
    send: SendFunction
    receive: ReceiveFunction
    close: Callable[[], None]
