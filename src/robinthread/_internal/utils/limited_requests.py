"""Requests that are read within limits on their size and on the turns of the event loop."""

import math
from collections.abc import Awaitable, Callable
from typing import Final

from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream

from robinthread._internal.utils.connection_budget import HeldConnection
from robinthread._internal.utils.turn_gate import TurnGate

# Most bytes that are read at once where the end of a chunk is searched for: decoding as many
# chunks of one byte takes a few milliseconds.
CHUNKED_READ_BYTES: Final = 2_048
# A length of more digits is over any limit.
LENGTH_DIGITS_MAX: Final = 18


class CountedStream(IOStream):
    """A stream that tells how many bytes it reads, and pauses while it may read none."""

    may_read: Callable[[], bool]
    note_read: Callable[[int], None]

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read into ``buf`` unless reading is paused."""
        if not self.may_read():
            return None
        count = super().read_from_fd(buf)
        if count:
            self.note_read(count)
        return count

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that were read and not consumed."""
        return self._read_buffer_size


class LimitedRequest(HTTPMessageDelegate):
    """Reads a request for ``delegate``, unless its body is over ``body_max_bytes``.

    ``refuse`` is called once for a body that is too large; the request then ends here.
    """

    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        connection: HeldConnection,
        body_max_bytes: int,
        gate: TurnGate,
        refuse: Callable[[HeldConnection], None],
    ) -> None:
        self._delegate = delegate
        self._connection = connection
        self._body_max_bytes = body_max_bytes
        self._gate = gate
        self._refuse = refuse
        self._body = bytearray()
        self._is_chunked = False
        self._is_passed_on = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Refuse a request that announces a body over the limit."""
        length = headers.get("Content-Length", "0")
        if _read_length(length) > self._body_max_bytes:
            self._refuse(self._connection)
            return None
        self._connection.has_head = self._is_passed_on = True
        self._delegate.headers_received(start_line, headers)
        self._is_chunked = "Transfer-Encoding" in headers
        if self._is_chunked:
            self._connection.stream.read_chunk_size = CHUNKED_READ_BYTES
        return self._pause()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Add a part of the body, however small, to what has been read of it."""
        if self._connection.is_closed:
            return None
        self._body += chunk
        if len(self._body) > self._body_max_bytes:
            self._body = bytearray()
            self._refuse(self._connection)
            return None
        return self._pause()

    def finish(self) -> None:
        """Pass the whole request on, unless its connection has been closed."""
        if self._connection.is_closed:
            return
        self._connection.is_reading = False
        if self._body:
            self._delegate.data_received(bytes(self._body))
            self._body = bytearray()
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Drop what has been read."""
        self._body = bytearray()
        if self._is_passed_on:
            self._delegate.on_connection_close()

    def _pause(self) -> Awaitable[None] | None:
        return self._gate.wait() if self._is_chunked else None


def _read_length(text: str) -> float:
    """Return an announced length, 0 if it is malformed: the server refuses it as such."""
    if not (text.isascii() and text.isdigit()):
        return 0
    return int(text) if len(text) <= LENGTH_DIGITS_MAX else math.inf
