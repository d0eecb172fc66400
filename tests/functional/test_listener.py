"""Listeners detect connections whose other end disappeared without closing them."""

import asyncio
import socket

from testtools import TestCase
from tornado.web import Application

from robinthread._internal.utils.listener import (
    PROBE_AFTER_S,
    PROBE_INTERVAL_S,
    PROBES_MAX,
    listen,
)

PROBE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
)


class ListenerTest(TestCase):
    def test_accepted_connections_are_probed(self) -> None:
        async def work() -> list[int]:
            server = listen(Application(), "127.0.0.1:0")
            (listener,) = server._sockets.values()
            _reader, writer = await asyncio.open_connection(*listener.getsockname())
            while not server._connections:
                await asyncio.sleep(0.001)
            (connection,) = server._connections
            accepted = connection.stream.socket
            found = [accepted.getsockopt(*option) for option in PROBE_OPTIONS]
            writer.close()
            server.stop()
            return found

        found = asyncio.run(work())
        self.assertEqual([1, PROBE_AFTER_S, PROBE_INTERVAL_S, PROBES_MAX], found)
