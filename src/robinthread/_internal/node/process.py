"""The process of a node: its real interfaces, its signals, its end."""

import asyncio
import secrets
import signal
from typing import Final

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from robinthread._internal.durable.errors import StoreError
from robinthread._internal.durable.group_writer import GroupWriter
from robinthread._internal.durable.inbox_records import INBOX_PARTITION
from robinthread._internal.durable.job_index import JobIndex
from robinthread._internal.durable.keyed_follower import KeyedFollower
from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.node.context import NodeContext
from robinthread._internal.node.election import Election
from robinthread._internal.node.host_directory import HostDirectory
from robinthread._internal.node.job_gate import JobGate
from robinthread._internal.node.node import Node
from robinthread._internal.node.node_settings import NodeSettings
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.peer_client import PeerClient
from robinthread._internal.node.peer_server import make_peer_application
from robinthread._internal.node.ready_server import make_ready_application
from robinthread._internal.node.steward import Steward
from robinthread._internal.platform.callers import make_callers_application
from robinthread._internal.platform.hosts import PlatformHosts
from robinthread._internal.platform.http import make_client
from robinthread._internal.platform.machines import PlatformMachines
from robinthread._internal.platform.operators import (
    CONFIG_KEY,
    HOSTS_PARTITION,
    OPERATORS_PARTITION,
    STATUS_PARTITION,
    WAVE_PREFIX,
    make_wave_status,
    parse_config,
    parse_host,
    parse_wave,
)
from robinthread._internal.platform.store import PlatformStore
from robinthread._internal.telemetry.event_log import EventLog

# Connections to the store: one for each partition followed, some for appends.
STORE_CONNECTIONS_MAX: Final = 64
# Connections to hosts: a watch and some orders for each of some hundred hosts.
HOST_CONNECTIONS_MAX: Final = 1000
PEER_CONNECTIONS_MAX: Final = 128
MACHINE_CONNECTIONS_MAX: Final = 32
RETRY_PAUSE_S: Final = 0.2
# Hosts' entries change with every heartbeat of any host, so they are read in turns.
# A leaving host must get no work after 2 s; a new one should get some soon.
HOSTS_PERIOD_S: Final = 0.3
# How long callers are still served after a planned stop began: the balancer
# needs two misses, one a second, to send them elsewhere.
LINGER_S: Final = 3.5


async def run_node(settings: NodeSettings) -> None:
    """Run a node until SIGTERM."""
    events = EventLog(settings.name)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: events.write("settings_changed"))
    peer_address = f"{settings.ip}:{settings.peer_ports[0]}"
    me = Member(settings.name, secrets.token_hex(4), peer_address)
    events.write("started", life=me.life, peer_address=peer_address, hall=settings.hall)

    store = PlatformStore(make_client(STORE_CONNECTIONS_MAX), settings.store_address)
    job_index = JobIndex(events)
    host_directory = HostDirectory(parse_host, events)
    config_holder = ConfigHolder(CONFIG_KEY, WAVE_PREFIX, parse_config, parse_wave, events)
    inbox = KeyedFollower(store, INBOX_PARTITION, job_index.apply, events)

    hosts = KeyedFollower(store, HOSTS_PARTITION, host_directory.apply, events, HOSTS_PERIOD_S)
    table = OwnerTable(store, events)
    context = NodeContext(
        settings,
        store,
        PlatformHosts(make_client(HOST_CONNECTIONS_MAX)),
        events,
        job_index,
        host_directory,
        config_holder,
        lambda: _read_to_end(hosts),
        inbox.read_to_end,
        lambda: loop.time() - table.follower.confirmed_at_s,
        lambda: _read_to_end(inbox),
    )
    election = Election(store, table, me, config_holder, events, settings.store.member_ttl_min_ms)
    owned = OwnedPools(context)
    writer = GroupWriter(store, INBOX_PARTITION, settings.store.call_max_bytes)
    peers = PeerClient(make_client(PEER_CONNECTIONS_MAX))
    gate = JobGate(me, writer, owned, table, peers, events)
    machines = PlatformMachines(make_client(MACHINE_CONNECTIONS_MAX), settings.machines_address)

    def make_steward(token: int, start_after_s: float) -> Steward:
        return Steward(
            context,
            machines,
            table,
            owned,
            peers,
            me,
            token,
            STATUS_PARTITION,
            make_wave_status,
            start_after_s,
        )

    node = Node(context, me, table, election, owned, make_steward, (hosts, inbox))

    _listen(make_ready_application(lambda: node.is_ready), settings.ready_address)
    _listen(make_peer_application(owned), peer_address)
    callers = _listen(make_callers_application(gate, config_holder), settings.caller_address)
    for work in (
        KeyedFollower(store, OPERATORS_PARTITION, config_holder.apply, events).run(),
        hosts.run(),
        inbox.run(),
        table.follower.run(),
        election.run(),
        writer.run(),
        node.run(),
    ):
        node.spawn(work)
    await stopped.wait()
    events.write("stopping")
    await node.stop()
    await asyncio.sleep(LINGER_S)
    callers.stop()
    events.write("stopped")


async def _read_to_end(follower: KeyedFollower) -> None:
    """Read all that is there, trying until the store answers."""
    while True:
        try:
            return await follower.read_to_end()
        except StoreError:
            await asyncio.sleep(RETRY_PAUSE_S)


def _listen(application: Application, address: str) -> HTTPServer:
    host, _, port = address.rpartition(":")
    server = HTTPServer(application)
    server.add_sockets(bind_sockets(int(port), host))
    return server
