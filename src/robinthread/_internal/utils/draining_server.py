"""HTTP server that closes its connections without losing a request that it has read.

Its clients may take only a part of the process's memory and descriptors.
"""

import asyncio
import contextlib
import socket
from http import HTTPStatus
from typing import Any, Final, cast

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate
from tornado.iostream import IOStream

from robinthread._internal.utils.connection_budget import ConnectionBudget, HeldConnection
from robinthread._internal.utils.limited_requests import CountedStream, LimitedRequest
from robinthread._internal.utils.lingering_closes import LingeringCloses
from robinthread._internal.utils.listener_limits import CONNECTION_BYTES, ListenerPolicy
from robinthread._internal.utils.turn_gate import TurnGate

# Most bytes that are read from a connection at once.
READ_BYTES: Final = 16 * 1024
# The server's own limit on bodies, which is not to be met: it would be answered with 400.
UNLIMITED_BYTES: Final = 2**62
RETRY_AFTER_S: Final = 1


class DrainingServer(HTTPServer):
    """HTTP server whose connections end only after each request that was read has its response.

    A connection is idle while none of its requests has been read whole: it waits for a request, or
    for the rest of one.  Requests that lie in a connection's buffer are answered before it is idle.
    """

    def initialize(  # type: ignore[override]
        self, *args: Any, policy: ListenerPolicy | None = None, **kwargs: Any
    ) -> None:
        """Set the arguments of ``HTTPServer`` and the limits on its clients."""
        kwargs |= {"chunk_size": READ_BYTES, "max_body_size": UNLIMITED_BYTES}
        super().initialize(*args, **kwargs)
        self._policy = policy or ListenerPolicy()
        self._budget = ConnectionBudget()
        self._held: dict[IOStream, HeldConnection] = {}
        self._limits = self._policy.get_limits()
        self._lingering = LingeringCloses()
        self._gate = TurnGate()
        self._is_over = False
        self._closes_after_response = False
        self._all_closed = asyncio.Event()
        self._used: set[HTTP1ServerConnection] = set()
        self._half_closed: list[socket.socket] = []

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Prepare for the next request of a connection, whose previous one has been answered."""
        connection = cast(HTTP1ServerConnection, server_conn)
        if self._closes_after_response and connection in self._used:
            # By the next turn of the loop, the connection has parsed what lies in its buffer.
            asyncio.get_running_loop().call_soon(self._close_if_idle, connection)
        is_used = connection in self._used
        self._used.add(connection)
        delegate = super().start_request(server_conn, request_conn)
        held = self._held[connection.stream]
        self._limits = self._policy.get_limits()
        self.conn_params.max_header_size = self._limits.head_max_bytes
        held.is_reading, held.has_head, held.is_used = True, False, is_used
        stream = cast(CountedStream, held.stream)
        stream.read_chunk_size = READ_BYTES
        self._budget.hold(held, CONNECTION_BYTES + stream.buffered_bytes)
        return LimitedRequest(
            delegate, held, self._limits.body_max_bytes, self._gate, self._refuse_body
        )

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a connection; if there are too many, close those that are idle."""
        held = HeldConnection(stream)
        counted = cast(CountedStream, stream)
        counted.may_read = lambda: not self._is_over
        counted.note_read = lambda count: self._note_read(held, count)
        self._held[stream] = held
        self._budget.add(held)
        super().handle_stream(stream, address)
        self._limit_count()

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has been closed."""
        super().on_close(server_conn)
        connection = cast(HTTP1ServerConnection, server_conn)
        self._budget.remove(self._held.pop(connection.stream))
        self._used.discard(connection)
        if not self._connections:
            self._all_closed.set()

    def _handle_connection(self, connection: socket.socket, address: Any) -> None:
        sizes = {"max_buffer_size": self.max_buffer_size, "read_chunk_size": READ_BYTES}
        self.handle_stream(CountedStream(connection, **sizes), address)

    def _note_read(self, held: HeldConnection, count: int) -> None:
        self._budget.hold(held, held.held_bytes + count)
        if self._budget.held_bytes > self._limits.read_max_bytes and not self._is_over:
            # Nothing is read until the end of this turn; small requests are then read whole.
            self._is_over = True
            asyncio.get_running_loop().call_soon(self._limit_bytes)

    def _limit_bytes(self) -> None:
        self._is_over = False
        for held in self._budget.take_for_bytes(self._limits):
            self._refuse(held, HTTPStatus.SERVICE_UNAVAILABLE, "memory")

    def _limit_count(self) -> None:
        too_many = len(self._budget) + len(self._lingering) - self._limits.connections_max
        self._lingering.end_oldest(too_many)
        for held in self._budget.take_for_count(self._limits, len(self._lingering)):
            self._refuse(held, HTTPStatus.SERVICE_UNAVAILABLE, "connections")

    def _refuse_body(self, held: HeldConnection) -> None:
        self._budget.remove(held)
        held.has_head = True
        self._refuse(held, HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large")

    def _refuse(self, held: HeldConnection, status: HTTPStatus, outcome: str) -> None:
        """Close a connection, with an answer if the head of a request has been read."""
        self._policy.note(outcome)
        if not held.has_head:
            held.stream.close()
            return
        body = self._policy.make_body(status)
        lines = [
            f"HTTP/1.1 {status.value} {status.phrase}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            lines.append(f"Retry-After: {RETRY_AFTER_S}")
        self._lingering.close(held.stream, "\r\n".join([*lines, "", ""]).encode() + body)

    def close_after_response(self) -> None:
        """Close each connection once it is idle after a response; go on accepting others."""
        self._closes_after_response = True

    async def drain(self) -> None:
        """Close the listener and all idle connections, and wait until the others are closed."""
        self.stop()
        self.close_after_response()
        for connection in list(self._connections):
            self._close_if_idle(connection)
        while self._connections:
            self._all_closed.clear()
            await self._all_closed.wait()

    def _close_if_idle(self, connection: HTTP1ServerConnection) -> None:
        stream = connection.stream
        if not stream.reading() or stream.closed():
            return
        # Closing a socket that has unread bytes resets the connection, and a reset may overtake
        # the last response.  A copy of the descriptor defers it to the end of the process.
        half_closed = stream.socket.dup()
        self._half_closed.append(half_closed)
        stream.close()
        with contextlib.suppress(OSError):
            half_closed.shutdown(socket.SHUT_WR)
