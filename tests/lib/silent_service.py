"""A loopback HTTP service whose open connections can go silent without a reset."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterator

from tests.lib.loopback_service import LoopbackService

# The store's response to a join; other callers check only the status.
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{"generation":1}'
HEAD_END = b"\r\n\r\n"
LENGTH_FIELD = b"content-length:"


class SilentService(LoopbackService):
    """Responds to each request at once, and records the number of its connection.

    After ``silence``, requests on the connections that were open are read but get no response;
    later connections are served.  While ``answers`` is cleared, no request gets a response.
    """

    def __init__(self) -> None:
        super().__init__()
        self.answers = asyncio.Event()
        self.answers.set()
        self.requests: list[int] = []
        self.opened = 0
        self.open: set[int] = set()
        self._silenced: set[int] = set()
        self._numbers = itertools.count()
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aexit__(self, *_: object) -> None:
        await super().__aexit__()
        self.answers.set()
        for writer in self._writers:
            writer.transport.abort()
        while self._writers:
            await asyncio.sleep(0)

    def silence(self) -> None:
        """Stop responding, permanently, on the connections that are open now."""
        self._silenced |= self.open

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        number = next(self._numbers)
        self.opened += 1
        self.open.add(number)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await self._respond_to_all(number, reader, writer)
        finally:
            self.open.discard(number)
            self._writers.discard(writer)
            writer.close()

    async def _respond_to_all(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(HEAD_END)
            await reader.readexactly(sum(_find_lengths(head)))
            self.requests.append(number)
            if number not in self._silenced:
                await self.answers.wait()
                writer.write(RESPONSE)


def _find_lengths(head: bytes) -> Iterator[int]:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(LENGTH_FIELD):
            yield int(line.removeprefix(LENGTH_FIELD))
