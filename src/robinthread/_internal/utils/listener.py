"""HTTP server on an address, which closes connections whose other end is unreachable."""

import socket
from typing import Final

from tornado.netutil import bind_sockets
from tornado.web import Application

from robinthread._internal.utils.draining_server import DrainingServer
from robinthread._internal.utils.listener_limits import ListenerPolicy

# Idle time after which a connection is probed.  Peers send requests more often.
PROBE_AFTER_S: Final = 10
# Interval between probes that are not acknowledged.
PROBE_INTERVAL_S: Final = 5
# Number of unacknowledged probes after which a connection is closed: 25 s in all.  No caller
# depends on a faster close; until then, it uses one of about a thousand descriptors.
PROBES_MAX: Final = 3
# Bytes of a connection that the system holds unread, beyond which its client has to wait.  They
# count toward the process's memory.  Without this limit, the system raises it to some megabytes.
RECEIVE_BYTES: Final = 64 * 1024
# Accepted connections inherit these options from the listening socket.
_SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_MAX),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES),
)


def listen(
    application: Application, address: str, policy: ListenerPolicy | None = None
) -> DrainingServer:
    """Serve an application on ``address``, an IP address and a port; return the server.

    Without a policy, the listener has the default limits.
    """
    host, _, port = address.rpartition(":")
    sockets = bind_sockets(int(port), host)
    for listener in sockets:
        for option in _SOCKET_OPTIONS:
            listener.setsockopt(*option)
    server = DrainingServer(application, policy=policy)
    server.add_sockets(sockets)
    return server
