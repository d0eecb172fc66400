"""HTTP service on loopback whose responses a function of the test decides."""

import asyncio
import contextlib
from collections.abc import Callable

from tests.lib.loopback_service import LoopbackService

HEAD_END = b"\r\n\r\n"
# Returns the status and the body of the response to a request's path and body.
Respond = Callable[[str, bytes], tuple[int, bytes]]


class ScriptedService(LoopbackService):
    """Responds to each request as ``respond`` decides; ``paths`` are those of all requests."""

    def __init__(self, respond: Respond) -> None:
        super().__init__()
        self._respond = respond
        self.paths: list[str] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                path, body = await _read_request(reader)
                self.paths.append(path)
                status, answer = self._respond(path, body)
                head = f"HTTP/1.1 {status} Scripted\r\nContent-Length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return the path and the body of the next request."""
    head = (await reader.readuntil(HEAD_END)).decode()
    lengths = (
        int(line.split(":")[1])
        for line in head.split("\r\n")
        if line.lower().startswith("content-length")
    )
    body = await reader.readexactly(next(lengths, 0))
    return head.split(" ")[1], body
