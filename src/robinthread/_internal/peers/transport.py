"""Carrying frames between daemons, as plain functions."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

SendFunction = Callable[[str, bytes], None]
ReceiveFunction = Callable[[], Awaitable[bytes]]


class TransportClosedError(Exception):
    """The transport was closed while a frame was awaited."""


@dataclass(frozen=True)
class PeerTransport:
    """Best-effort frames: ``send(address, data)`` may lose them silently.

    ``receive`` raises ``TransportClosedError`` after ``close``.
    """

    address: str
    send: SendFunction
    receive: ReceiveFunction
    close: Callable[[], None]
