"""Base class of loopback services whose bytes a test controls."""

import asyncio
from abc import ABC, abstractmethod
from typing import Final, Self

# Large enough that no connection in a test waits for a free place in the backlog.
BACKLOG: Final = 1024


class LoopbackService(ABC):
    """Listens on a free port within ``async with`` and calls ``_serve`` for each connection."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the host and port on which the service listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=BACKLOG)
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()

    @abstractmethod
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
