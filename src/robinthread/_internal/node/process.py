"""The process of a node: its real interfaces, its signals, its end."""

import asyncio
import secrets
import signal
import time
from typing import Final

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from robinthread._internal.durable.ownership import Member
from robinthread._internal.node.assembly import AssembledNode, assemble_node
from robinthread._internal.node.environment import NodeEnvironment
from robinthread._internal.node.node_settings import NodeSettings
from robinthread._internal.node.peer_client import PeerClient
from robinthread._internal.node.peer_server import make_peer_application
from robinthread._internal.node.ready_server import make_ready_application
from robinthread._internal.platform.callers import make_callers_application
from robinthread._internal.platform.hosts import PlatformHosts
from robinthread._internal.platform.machines import PlatformMachines
from robinthread._internal.platform.operators import PLATFORM_RECORDS
from robinthread._internal.platform.store import PlatformStore
from robinthread._internal.telemetry.event_log import EventLog, LineWriter
from robinthread._internal.utils.http_call import make_client

# Connections to the store: one for each partition followed, some for appends.
STORE_CONNECTIONS_MAX: Final = 64
# Connections to hosts: a watch and some orders for each of some hundred hosts.
HOST_CONNECTIONS_MAX: Final = 1000
PEER_CONNECTIONS_MAX: Final = 128
MACHINE_CONNECTIONS_MAX: Final = 32
# How long callers are still served after a planned stop began: the balancer needs
# two misses, one a second, to send them elsewhere.
LINGER_S: Final = 3.5


async def run_node(settings: NodeSettings) -> None:
    """Run a node until SIGTERM."""
    events = EventLog(settings.name, LineWriter().write)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: events.write("settings_changed"))
    peer_address = f"{settings.ip}:{settings.peer_ports[0]}"
    me = Member(settings.name, secrets.token_hex(4), peer_address)
    events.write("started", life=me.life, peer_address=peer_address, hall=settings.hall)
    assembled = assemble_node(settings, make_environment(settings, events), me)
    callers = _serve(assembled, settings, peer_address)
    await stopped.wait()
    events.write("stopping")
    await assembled.node.stop()
    await asyncio.sleep(LINGER_S)
    callers.stop()
    events.write("stopped")


def make_environment(settings: NodeSettings, events: EventLog) -> NodeEnvironment:
    """Make the real interfaces of a node."""
    return NodeEnvironment(
        store=PlatformStore(make_client(STORE_CONNECTIONS_MAX), settings.store_address),
        hosts=PlatformHosts(make_client(HOST_CONNECTIONS_MAX)),
        machines=PlatformMachines(make_client(MACHINE_CONNECTIONS_MAX), settings.machines_address),
        peers=PeerClient(make_client(PEER_CONNECTIONS_MAX)),
        records=PLATFORM_RECORDS,
        events=events,
        get_wall_ms=lambda: int(time.time() * 1000),
    )


def _serve(assembled: AssembledNode, settings: NodeSettings, peer_address: str) -> HTTPServer:
    """Listen for the balancer, for other nodes and for callers; return the last."""
    node = assembled.node
    _listen(make_ready_application(lambda: node.is_ready), settings.ready_address)
    _listen(make_peer_application(assembled.answers), peer_address)
    application = make_callers_application(assembled.gate, assembled.config_holder)
    return _listen(application, settings.caller_address)


def _listen(application: Application, address: str) -> HTTPServer:
    host, _, port = address.rpartition(":")
    server = HTTPServer(application)
    server.add_sockets(bind_sockets(int(port), host))
    return server
