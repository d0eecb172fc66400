"""Refusals of requests that their clients are still sending."""

import asyncio
import socket
from typing import Final

from tornado.iostream import IOStream

# How long a client may go on sending after its refusal.  Closing a socket that has unread bytes
# resets the connection, and a reset may overtake the refusal.
LINGER_S: Final = 2.0
# How much of what it sends is dropped at once, and the pause after that: a client that is held up
# reads its refusal, and dropping takes little time, however much it sends.
DROPPED_BYTES: Final = 64 * 1024
DROP_PAUSE_S: Final = 0.02


class LingeringCloses:
    """Connections whose last answer is written, and whose clients may still be sending."""

    def __init__(self) -> None:
        # In the order in which they were refused.
        self._open: dict[socket.socket, None] = {}
        self._scratch = bytearray(DROPPED_BYTES)

    def __len__(self) -> int:
        return len(self._open)

    def close(self, stream: IOStream, answer: bytes) -> None:
        """Write an answer, close the sending side, and drop what the client still sends."""
        if stream.closed() or stream.writing():
            stream.close()
            return
        connection = stream.socket.dup()
        stream.close()
        try:
            connection.setblocking(False)
            connection.send(answer)
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            connection.close()
            return
        self._open[connection] = None
        self._watch(connection)
        asyncio.get_running_loop().call_later(LINGER_S, self._end, connection)

    def end_oldest(self, count: int) -> None:
        """Close the oldest ``count`` connections at once."""
        for connection in list(self._open)[: max(0, count)]:
            self._end(connection)

    def _watch(self, connection: socket.socket) -> None:
        if connection in self._open:
            asyncio.get_running_loop().add_reader(connection, self._drop, connection)

    def _drop(self, connection: socket.socket) -> None:
        try:
            count = connection.recv_into(self._scratch)
        except BlockingIOError:
            return
        except OSError:
            count = 0
        if not count:
            self._end(connection)
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(connection)
        loop.call_later(DROP_PAUSE_S, self._watch, connection)

    def _end(self, connection: socket.socket) -> None:
        if connection in self._open:
            del self._open[connection]
            asyncio.get_running_loop().remove_reader(connection)
            connection.close()
