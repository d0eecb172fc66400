"""Serving HTTP on an address, without keeping connections whose other end is gone."""

import socket
from typing import Final

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

# A connection that was quiet for so long is probed.  Peers ask each other more often.
PROBE_AFTER_S: Final = 10
# One that does not answer is probed again every so often, ...
PROBE_INTERVAL_S: Final = 5
# ... and closed after so many: 25 s in all.  Nothing waits for it; it holds one of some
# thousand descriptors.
PROBES_MAX: Final = 3
# Accepted connections have these from their listener.
_KEEP_ALIVE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_MAX),
)


def listen(application: Application, address: str) -> HTTPServer:
    """Serve an application on an address."""
    host, _, port = address.rpartition(":")
    sockets = bind_sockets(int(port), host)
    for listener in sockets:
        for option in _KEEP_ALIVE_OPTIONS:
            listener.setsockopt(*option)
    server = HTTPServer(application)
    server.add_sockets(sockets)
    return server
