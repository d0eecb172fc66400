"""Settings file of a node that runs as a process on loopback."""

import socket
from dataclasses import asdict, dataclass

SETTINGS = """
node = "n0"
ip = "127.0.0.1"
zone = "hall"
port_range = [{peer}, {peer}]

[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"

[bounds]
grace_s = {grace_s}

[platform]
address = "{store}"

[cloud]
address = "127.0.0.1:1"
"""
# No service listens there.
NO_ADDRESS = "127.0.0.1:1"


@dataclass(frozen=True)
class NodePorts:
    """The ports on which a node serves other nodes, callers and the load balancer."""

    peer: int
    front: int
    ready: int


def format_settings(ports: NodePorts, grace_s: float, store: str = NO_ADDRESS) -> str:
    """Return the text of a settings file."""
    return SETTINGS.format(grace_s=grace_s, store=store, **asdict(ports))


def find_free_ports() -> NodePorts:
    """Return ports that are free at present."""
    sockets = [socket.socket() for _ in range(3)]
    for opened in sockets:
        opened.bind(("127.0.0.1", 0))
    ports = NodePorts(*(opened.getsockname()[1] for opened in sockets))
    for opened in sockets:
        opened.close()
    return ports
