"""A small HTTP/1.1 service and client on loopback addresses."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

LARGEST_BODY_BYTES = 16 * 1024 * 1024
# A channel ends when its peer leaves, or with the case.
CHANNEL_ENDS = (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError)


@dataclass(frozen=True)
class Request:
    """A request that has been read whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> dict[str, Any]:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass(frozen=True)
class Answer:
    """An answer; ``is_silent`` means that the channel says nothing from now on."""

    status: int = 200
    body: bytes = b""
    is_silent: bool = False
    headers: dict[str, str] = field(default_factory=dict)


def make_json_answer(status: int, value: Any) -> Answer:
    """Return an answer with a JSON body."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return Answer(status, body, headers={"Content-Type": "application/json"})


Handle = Callable[[Request], Awaitable[Answer]]


class HttpService:
    """Serves ``handle`` on a loopback address; each channel carries one request at a time."""

    def __init__(self, handle: Handle, ip: str = "127.0.0.1") -> None:
        self._handle = handle
        self._ip = ip
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Return the host and port at which the service listens."""
        return f"{self._ip}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self._ip, self.port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset the open channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self) -> None:
        """Reset all open channels."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(*CHANNEL_ENDS):
            while (request := await read_request(reader)) is not None:
                answer = await self._handle(request)
                if answer.is_silent:
                    await reader.read()
                    break
                writer.write(_encode_answer(answer))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; return None at the end of the channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = _parse_headers(lines)
    length = int(headers.get("content-length", "0"))
    if length > LARGEST_BODY_BYTES:
        raise ValueError("a body over the limit")
    body = await reader.readexactly(length) if length else b""
    parts = urlsplit(target)
    return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)


def _parse_headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def _encode_answer(answer: Answer) -> bytes:
    fields = {"Content-Length": str(len(answer.body)), **answer.headers}
    lines = [f"HTTP/1.1 {answer.status} -", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + answer.body


async def send_request(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> tuple[int, bytes] | None:
    """Send one request on a channel of its own; return status and body, None without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            fields = {**headers, "Content-Length": str(len(body)), "Connection": "close"}
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await reader.readuntil(b"\r\n\r\n")
            first, *rest = head.decode("latin-1").split("\r\n")
            length = int(_parse_headers(rest).get("content-length", "0"))
            return int(first.split(" ")[1]), await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
