"""The process of a node: its connections, listeners, signals and shutdown."""

import asyncio
import importlib
import secrets
import signal
import time
from collections.abc import Callable
from functools import partial
from typing import Final

from opentelemetry.metrics import get_meter
from tornado.web import Application

from robinthread._internal.durable.member_build import make_incarnation
from robinthread._internal.durable.ownership import Member
from robinthread._internal.node.assembly import AssembledNode, assemble_node
from robinthread._internal.node.capacity import get_capacity_millicores
from robinthread._internal.node.environment import NodeEnvironment
from robinthread._internal.node.evacuation_gauges import register_evacuation_gauges
from robinthread._internal.node.listener_policies import (
    ListenerPolicies,
    make_listener_policies,
)
from robinthread._internal.node.node_settings import NodeSettings
from robinthread._internal.node.open_requests import OpenRequests
from robinthread._internal.node.peer_client import PeerClient
from robinthread._internal.node.peer_server import make_peer_application
from robinthread._internal.node.ready_server import make_ready_application
from robinthread._internal.node.settings_holder import SettingsHolder
from robinthread._internal.node.stopping import NodeServers, stop_node
from robinthread._internal.platform.advice import PlatformAdvice
from robinthread._internal.platform.callers import (
    make_callers_application,
    make_refusal_body,
)
from robinthread._internal.platform.hosts import PlatformHosts
from robinthread._internal.platform.machines import PlatformMachines
from robinthread._internal.platform.platform_records import PLATFORM_RECORDS
from robinthread._internal.platform.store import PlatformStore
from robinthread._internal.settings.policy_settings import PolicySettings
from robinthread._internal.telemetry.event_log import EventLog, LineWriter
from robinthread._internal.telemetry.log_bridge import bridge_libraries
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from robinthread._internal.utils.draining_server import DrainingServer
from robinthread._internal.utils.http_call import make_client
from robinthread._internal.utils.listener import listen
from robinthread._internal.utils.listener_limits import ListenerPolicy
from robinthread._internal.utils.memory import trim_heap
from robinthread._internal.utils.startup_signals import STOP_SIGNALS

# Connections to the store: one for each partition that is followed, and some for appends.
STORE_CONNECTIONS_MAX: Final = 64
# Connections to hosts: a watch and a few orders for each of a few hundred hosts.
HOST_CONNECTIONS_MAX: Final = 1000
PEER_CONNECTIONS_MAX: Final = 128
MACHINE_CONNECTIONS_MAX: Final = 32
# Each pool that the node owns has one advice request at a time.
ADVICE_CONNECTIONS_MAX: Final = 16
OWN_CONNECTIONS_MAX: Final = sum(
    (
        STORE_CONNECTIONS_MAX,
        HOST_CONNECTIONS_MAX,
        PEER_CONNECTIONS_MAX,
        MACHINE_CONNECTIONS_MAX,
        ADVICE_CONNECTIONS_MAX,
    )
)
# Loading the exporter takes 0.2 s of CPU time; after a restart of all nodes, jobs take precedence.
METRICS_DELAY_S: Final = 5.0
# Modules of the exporter, loaded one by one.  Each blocks the event loop for at most half of that
# time, and in between the node responds to calls with timeouts as short as 0.3 s.
METRICS_MODULES: Final = (
    "prometheus_client",
    "opentelemetry.sdk.resources",
    "opentelemetry.sdk.metrics",
    "opentelemetry.exporter.prometheus",
)
METRICS_PAUSE_S: Final = 0.1


async def run_node(
    read_settings: Callable[[], NodeSettings],
    metrics_port: int | None,
    start_metrics_export: Callable[[NodeMetrics], Application],
    policy: PolicySettings,
) -> None:
    """Run a node until SIGTERM or SIGINT; raise ``FaultError`` if its settings are not valid.

    If ``metrics_port`` is set, the application that ``start_metrics_export`` returns serves metrics
    on it from ``METRICS_DELAY_S`` after the start.
    """
    stopped = asyncio.Event()
    _handle_signals(stopped, lambda: holder.reload("signal"))
    settings = read_settings()
    writer = LineWriter()
    metrics = NodeMetrics(get_meter("robinthread"))
    events = EventLog(settings.name, writer.write, metrics)
    bridge_libraries(events)
    holder = SettingsHolder(settings, read_settings, events)
    peer_address = f"{settings.ip}:{settings.peer_ports[0]}"
    capacity_millicores = get_capacity_millicores(settings.cpu_cores, settings.link_mbps)
    me = Member(
        settings.name,
        make_incarnation(secrets.token_hex(4)),
        peer_address,
        capacity_millicores,
        started_at_ms=int(time.time() * 1000),
    )
    events.write(
        "started",
        life=me.incarnation,
        peer_address=peer_address,
        hall=settings.hall,
        capacity_millicores=capacity_millicores,
    )
    assembled = assemble_node(holder, make_environment(settings, events, policy), me)
    _register_gauges(metrics, writer, assembled)
    requests = OpenRequests()
    policies = make_listener_policies(
        settings.limits, OWN_CONNECTIONS_MAX, assembled.config_holder, make_refusal_body, events
    )
    servers = _serve(assembled, settings, peer_address, events, requests, policies)
    address = "" if metrics_port is None else f"{settings.ip}:{metrics_port}"
    assembled.supervisor.start_once(
        "start",
        partial(_finish_start, start_metrics_export, metrics, address, servers, policies.metrics),
    )
    await stopped.wait()
    grace_s = holder.settings.bounds.stop_grace_s
    await stop_node(assembled, servers, requests, grace_s, events)


def _handle_signals(stopped: asyncio.Event, reload: Callable[[], None]) -> None:
    """Set ``stopped`` on SIGTERM and SIGINT, and call ``reload`` on SIGHUP.

    Both happen at the caller's next ``await`` at the earliest.  Handlers that are set before the
    settings are read miss no change of them.
    """
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, reload)


def _register_gauges(metrics: NodeMetrics, writer: LineWriter, assembled: AssembledNode) -> None:
    reporter, views = assembled.status_reporter, assembled.views
    metrics.register_gauge("lines_lost", "by", lambda: {"slow reader": writer.lost_count})
    metrics.register_gauge("loop_lag_seconds", "of", lambda: {"event loop": assembled.lag.lag_s})
    metrics.register_gauge("pool_state", "pool", reporter.read_states)
    metrics.register_gauge("lasting_away", "pool", reporter.count_lasting_not_running)
    metrics.register_gauge("unsent_starts", "pool", reporter.count_unsent_starts)
    metrics.register_gauge("workspace_part", "pool_and_workspace", reporter.read_workspace_parts)
    metrics.register_gauge("follower_age_seconds", "topic", views.read_ages)
    metrics.register_gauge("follower_offset", "topic", views.read_offsets)
    register_evacuation_gauges(metrics, assembled.owned)


def make_environment(
    settings: NodeSettings, events: EventLog, policy: PolicySettings
) -> NodeEnvironment:
    """Create the external interfaces of a node that connect to the real platform."""
    metrics = events.metrics
    machines_client = make_client(MACHINE_CONNECTIONS_MAX)
    return NodeEnvironment(
        store=PlatformStore(make_client(STORE_CONNECTIONS_MAX), settings.store_address, metrics),
        hosts=PlatformHosts(make_client(HOST_CONNECTIONS_MAX), metrics),
        machines=PlatformMachines(machines_client, settings.machines_address, metrics, events),
        advice=PlatformAdvice(make_client(ADVICE_CONNECTIONS_MAX), settings.advice_address),
        peers=PeerClient(make_client(PEER_CONNECTIONS_MAX)),
        records=PLATFORM_RECORDS,
        events=events,
        get_wall_ms=lambda: int(time.time() * 1000),
        policy=policy,
    )


def _serve(
    assembled: AssembledNode,
    settings: NodeSettings,
    peer_address: str,
    events: EventLog,
    requests: OpenRequests,
    policies: ListenerPolicies,
) -> NodeServers:
    """Listen for the load balancer, for nodes and for callers; return the servers."""
    ready_application = make_ready_application(assembled.readiness.check)
    ready = listen(ready_application, settings.ready_address, policies.ready)
    peer_application = make_peer_application(assembled.request_handler, events)
    peers = listen(peer_application, peer_address, policies.peers)
    application = make_callers_application(
        assembled.job_service, assembled.config_holder, events, requests
    )
    callers = listen(application, settings.caller_address, policies.callers)
    return NodeServers(callers, [peers, ready])


async def _finish_start(
    start_metrics_export: Callable[[NodeMetrics], Application],
    metrics: NodeMetrics,
    address: str,
    servers: NodeServers,
    policy: ListenerPolicy,
) -> None:
    """Serve metrics if ``address`` is not empty, then return the memory that imports have freed.

    Modules without cached bytecode are compiled at each start, which leaves freed blocks.
    """
    await asyncio.sleep(METRICS_DELAY_S)
    if address:
        servers.others.append(await _serve_metrics(start_metrics_export, metrics, address, policy))
    trim_heap()


async def _serve_metrics(
    start_metrics_export: Callable[[NodeMetrics], Application],
    metrics: NodeMetrics,
    address: str,
    policy: ListenerPolicy,
) -> DrainingServer:
    """Load the modules of the exporter one by one, then serve metrics."""
    for name in METRICS_MODULES:
        importlib.import_module(name)
        await asyncio.sleep(METRICS_PAUSE_S)
    return listen(start_metrics_export(metrics), address, policy)
