"""HTTP clients whose answers a test decides, without sockets, for the virtual clock."""

import asyncio
import base64
import json
import math
import struct
from collections.abc import Callable
from io import BytesIO
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from robinthread._internal.utils.http_call import HttpClient

# Returns the status and the body of the answer to a request.
Answer = Callable[[HTTPRequest], tuple[int, bytes]]


class TooManyCallsError(Exception):
    """The caller goes on and on."""


class AnsweringFetcher:
    """Answers each request as ``answer`` decides."""

    def __init__(self, answer: Answer, calls_max: float = math.inf) -> None:
        self._answer = answer
        self._calls_max = calls_max
        self._call_count = 0

    async def fetch(self, request: HTTPRequest | str, raise_error: bool = False) -> HTTPResponse:
        """Return the answer; like a real client, yield to other tasks at least once."""
        await asyncio.sleep(0.001)
        self._call_count += 1
        if self._call_count > self._calls_max:
            raise TooManyCallsError(f"more than {self._calls_max} calls")
        if isinstance(request, str):
            request = HTTPRequest(request)
        status, body = self._answer(request)
        return HTTPResponse(request, status, buffer=BytesIO(body))


class PagesOfRecords:
    """Answers the reads of one partition of the store, as the platform's store does."""

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []

    def put(self, key: str | bytes, value: bytes) -> None:
        """Append a record."""
        self.records.append((key.encode() if isinstance(key, str) else key, value))

    def answer(self, request: HTTPRequest) -> tuple[int, bytes]:
        """Answer a read of the newest records or from an offset."""
        url = urlsplit(request.url)
        if url.path == "/log-newest":
            return 200, self._list_newest()
        from_offset = int(parse_qs(url.query)["from"][0])
        bodies = (bytes([len(key)]) + key + value for key, value in self.records[from_offset:])
        head = struct.pack(">QQ", len(self.records), 0)
        return 200, head + b"".join(struct.pack(">I", len(body)) + body for body in bodies)

    def _list_newest(self) -> bytes:
        newest: dict[bytes, dict[str, Any]] = {}
        for offset, (key, value) in enumerate(self.records):
            name = key.decode(errors="replace")
            newest[key] = {
                "tls_key": name,
                "offset": offset,
                "value": base64.b64encode(value).decode(),
            }
        items = [newest[key] for key in sorted(newest)]
        return json.dumps({"items": items, "end": len(self.records), "has_more": False}).encode()


def make_answering_client(answer: Answer, calls_max: float = math.inf) -> HttpClient:
    """Return a client whose calls, at most so many, are answered by ``answer``."""
    return HttpClient(cast(AsyncHTTPClient, AnsweringFetcher(answer, calls_max)))
