"""In-memory stand-in for the platform, with nodes on it, timed by the event loop's clock."""

import asyncio
import enum
import itertools
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from typing import Final, TypeVar

import msgspec

from robinthread._internal.durable.member_build import make_incarnation
from robinthread._internal.durable.ownership import Member
from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.models.fleet_config import FleetConfig, make_fleet_config
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.models.workspace_policy import WorkspacePolicy
from robinthread._internal.node.assembly import AssembledNode, assemble_node
from robinthread._internal.node.environment import NodeEnvironment, PlatformRecords
from robinthread._internal.node.peer_calls import (
    REQUEST_TIMEOUT_S,
    PeerUnreachableError,
    PeerUnsentError,
)
from robinthread._internal.node.settings_holder import SettingsHolder
from robinthread._internal.settings.policy_settings import PolicySettings
from robinthread._internal.standins.advice_standin import AdviceStandin
from robinthread._internal.standins.call_faults import ProcessorCharge
from robinthread._internal.standins.cold_speed import ColdSpeed
from robinthread._internal.standins.host_changes import HostChangeLog, HostState
from robinthread._internal.standins.job_host_standin import (
    ENDS_PER_REPORT_MAX,
    JobHostStandin,
    TaskPlan,
)
from robinthread._internal.standins.job_hosts_standin import JobHostsStandin
from robinthread._internal.standins.machines_standin import HostLifecycle, MachinesStandin
from robinthread._internal.standins.node_settings_standin import (
    BOUNDS,
    STORE_LIMITS,
    make_settings,
)
from robinthread._internal.standins.open_connections import OpenConnections
from robinthread._internal.standins.store_standin import StoreStandin
from robinthread._internal.telemetry.event_log import EventLog

OPERATORS: Final = Partition("keyed.operators")
HOSTS: Final = Partition("keyed.hosts")
STATUS: Final = Partition("keyed.wave-status")
CONFIG_KEY: Final = "config"
WAVE_PREFIX: Final = "wave/"
EVACUATION_PREFIX: Final = "evacuate/"
RESERVE: Final = "reserve"
# One-way latency between two nodes.
PEER_LATENCY_S: Final = 0.001

# The wall clock of hosts when the loop's clock is 0.
EPOCH_MS: Final = 1_700_000_000_000
# A host's entry stays in the store for this long after its last heartbeat: three heartbeats of
# 1.5 s each.
ENTRY_EXPIRES_AFTER_S: Final = 4.5
# Time from the crash of a host to the start of the next host on its machine.
HOST_REPLACEMENT_S: Final = 3.0

T = TypeVar("T")


class _WireConfig(msgspec.Struct):
    version: int
    queues: tuple[QueuePolicy, ...]
    pools: tuple[PoolPolicy, ...]
    workspaces: tuple[WorkspacePolicy, ...] = ()


def _parse_config(value: bytes) -> FleetConfig:
    wire = msgspec.msgpack.decode(value, type=_WireConfig)
    return make_fleet_config(wire.version, wire.queues, wire.pools, 262_144, wire.workspaces)


def _parse_host(host_id: str, value: bytes) -> UpstreamHost:
    return msgspec.msgpack.decode(value, type=UpstreamHost)


def _parse_wave(value: bytes) -> UpkeepWave:
    return msgspec.msgpack.decode(value, type=UpkeepWave)


def _parse_evacuation(value: bytes) -> None:
    msgspec.msgpack.decode(value, type=dict)


def _make_wave_status(wave: int, is_done: bool) -> KeyedRecord:
    return KeyedRecord(f"{WAVE_PREFIX}{wave}", b"done" if is_done else b"running")


RECORDS: Final = PlatformRecords(
    OPERATORS,
    HOSTS,
    STATUS,
    CONFIG_KEY,
    WAVE_PREFIX,
    EVACUATION_PREFIX,
    _parse_config,
    _parse_host,
    _parse_wave,
    _parse_evacuation,
    _make_wave_status,
)


class _PeersClient:
    """Requests between nodes, without a network; implements ``PeerCalls``."""

    def __init__(self, platform: "PlatformStandin", caller: str) -> None:
        self._platform = platform
        self._caller = caller

    async def send_request(
        self,
        address: str,
        request: msgspec.Struct,
        response_type: type[T],
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> T:
        """Send a request to a node and return its response."""
        self._platform.request_counts[address] += 1
        if self._platform.charge_request is not None:
            await self._platform.charge_request(self._caller)
        await asyncio.sleep(PEER_LATENCY_S)
        peer = self._platform.nodes.get(address)
        if peer is None or {self._caller, address} & self._platform.cut_nodes:
            raise PeerUnsentError(address)
        connections = self._platform.peer_connections
        silences_before = connections.silences
        is_silent = connections.use(self._caller, address)
        try:
            async with asyncio.timeout(timeout_s):
                if is_silent:
                    await _wait_forever()
                if self._platform.charge_request is not None:
                    await self._platform.charge_request(address)
                response = await peer.assembled.request_handler.handle(request)
                if connections.silences > silences_before:
                    await _wait_forever()
        except TimeoutError as error:
            connections.replace_silent(self._caller, address)
            raise PeerUnreachableError(address) from error
        return response  # type: ignore[return-value]


async def _wait_forever() -> None:
    await asyncio.Event().wait()


@dataclass(frozen=True)
class RunningNode:
    """A node on the stand-in."""

    name: str
    assembled: AssembledNode


class StartTimeSource(enum.Enum):
    """Where hosts publish their start time."""

    ENTRY = "entry"
    REPORT = "report"


class _HostIncarnations(HostLifecycle):
    """Starts hosts, each with an address and an entry in the store, and ends them."""

    def __init__(self, platform: "PlatformStandin") -> None:
        self._platform = platform
        self._numbers = itertools.count(1)
        self._ids: dict[tuple[str, str], str] = {}

    def begin(self, machine: str, pool: str, rack: str, capacity: Resources) -> str:
        platform = self._platform
        host_id = f"i-{next(self._numbers)}"
        if platform.keeps_host_ids:
            host_id = self._ids.setdefault((machine, pool), host_id)
        host_started_at_ms = platform.get_wall_ms()
        record = UpstreamHost(
            id=host_id,
            machine=machine,
            pool=pool,
            address=f"{machine}:80",
            hall=platform.machines.halls_by_rack.get(rack, ""),
            rack=rack,
            capacity=capacity,
            labels=frozenset({rack}),
            host_started_at_ms=host_started_at_ms
            if StartTimeSource.ENTRY in platform.start_time_sources
            else None,
            cold_for_ms=platform.cold_start_s * 1000 if platform.reports_cold else 0,
        )
        hosts = platform.hosts
        platform.advice.start_incarnation(host_id)

        def accepts_ticket(order: StartOrder) -> bool:
            if not platform.requires_tickets:
                return True
            return platform.advice.accepts(order.task.step_key, record.id, order.ticket)

        host = JobHostStandin(
            record,
            hosts.ledger,
            platform.plan_task,
            hosts.gangs,
            accepts_ticket,
            lambda: platform.hosts_check_room,
            platform.crash_and_replace_host,
            host_started_at_ms if StartTimeSource.REPORT in platform.start_time_sources else None,
            platform.ends_per_report_max,
        )
        host.crashes_all_after_s = platform.crashing_machines.get(machine)
        cold_until_s = asyncio.get_running_loop().time() + platform.cold_start_s
        host.cold_speed = ColdSpeed(cold_until_s, platform.cold_slowness)
        hosts.add(host)
        platform.list_host(record)
        return record.id

    def end(self, host_id: str) -> None:
        self._platform.crash_host(host_id)


class PlatformStandin:
    """Store, hosts, machines and nodes; ``plan_task`` returns how a task behaves.

    ``request_counts`` counts the requests that each node received from other nodes.
    ``crashing_machines`` maps machines to the seconds after which their hosts crash,
    counted from the start of any task.  If ``charge_request`` is set, it is awaited for both
    nodes of a request, to model its processor time.  If ``keeps_host_ids`` is set, a
    machine's next host in the same pool has the same id; its incarnations can be distinguished
    by the start times that are published in ``start_time_sources``.  The wall clock of hosts is
    ``clock_back_ms`` behind.  Nodes started from now on get the ``bounds``.  Hosts that begin
    from now on list ``ends_per_report_max`` ends at most, and work ``cold_slowness`` times slower
    for ``cold_start_s``, and their entries say so if ``reports_cold`` is set.
    """

    def __init__(self, plan_task: Callable[[TaskKey], TaskPlan], seed: int = 1) -> None:
        self.plan_task = plan_task
        self.store = StoreStandin(seed)
        self.hosts = JobHostsStandin(seed)
        self.machines = MachinesStandin(RESERVE, _HostIncarnations(self), seed)
        self.advice = AdviceStandin()
        self.requires_tickets = False
        self.host_replacement_s = HOST_REPLACEMENT_S
        self.keeps_host_ids = False
        self.start_time_sources: Collection[StartTimeSource] = ()
        self.clock_back_ms = 0
        self.cold_start_s = 0.0
        self.cold_slowness = 4.0
        self.reports_cold = True
        self.hosts_check_room = True
        self.crashing_machines: dict[str, float] = {}
        self.nodes: dict[str, RunningNode] = {}
        self.cut_nodes: set[str] = set()
        self.peer_connections = OpenConnections()
        self.request_counts: Counter[str] = Counter()
        self.charge_request: ProcessorCharge | None = None
        self.bounds = BOUNDS
        self.store_limits = STORE_LIMITS
        self.ends_per_report_max = ENDS_PER_REPORT_MAX
        self.events: list[bytes] = []
        self.host_changes = HostChangeLog()
        self._incarnation_numbers = itertools.count(1)

    def get_wall_ms(self) -> int:
        """Return the wall clock of hosts, in milliseconds since the epoch."""
        return EPOCH_MS + int(asyncio.get_running_loop().time() * 1000) - self.clock_back_ms

    def configure(
        self,
        version: int,
        queues: tuple[QueuePolicy, ...],
        pools: tuple[PoolPolicy, ...],
        workspaces: tuple[WorkspacePolicy, ...] = (),
    ) -> None:
        """Publish a configuration; its workspace limits are checked from now on."""
        value = msgspec.msgpack.encode(_WireConfig(version, queues, pools, workspaces))
        self.store.put(OPERATORS, CONFIG_KEY, value)
        self.hosts.ledger.limits.record_limits(
            {workspace.name: workspace.limit for workspace in workspaces},
            asyncio.get_running_loop().time(),
        )

    def request_wave(self, wave: UpkeepWave) -> None:
        """Request a maintenance wave; its limit of machines at once is checked from now on."""
        self.machines.waves.record_request(wave)
        self.store.put(OPERATORS, f"{WAVE_PREFIX}{wave.number}", msgspec.msgpack.encode(wave))

    def request_evacuation(self, hall: str) -> None:
        """Request that a data hall is evacuated."""
        self.store.put(OPERATORS, f"{EVACUATION_PREFIX}{hall}", msgspec.msgpack.encode({}))

    def withdraw_evacuation(self, hall: str) -> None:
        """Withdraw the request to evacuate a data hall."""
        self.store.put(OPERATORS, f"{EVACUATION_PREFIX}{hall}", None)

    def list_host(self, record: UpstreamHost) -> None:
        """Add a host's entry to the store, or replace it."""
        self.store.put(HOSTS, record.id, msgspec.msgpack.encode(record))
        self.host_changes.record_listed(record)

    async def send_heartbeats(self, period_s: float) -> None:
        """Renew the entry of each listed host every ``period_s``, in turn, until cancelled."""
        while True:
            entries = self.store.get_newest(HOSTS)
            for host_id in entries:
                await asyncio.sleep(period_s / len(entries))
                # The host may have been unlisted meanwhile.
                value = self.store.get_newest(HOSTS).get(host_id)
                if value is not None:
                    self.store.put(HOSTS, host_id, value)
            if not entries:
                await asyncio.sleep(period_s)

    def unlist_host(self, host_id: str) -> None:
        """Remove a host's entry from the store."""
        self.store.put(HOSTS, host_id, None)

    def crash_host(self, host_id: str) -> None:
        """Crash a host; its entry expires later, as if its heartbeats had stopped."""
        self.machines.record_crash(host_id)
        for host in self.hosts.hosts.values():
            if host.record.id == host_id and host.is_up:
                self.host_changes.record(host.record, HostState.DOWN)
                host.crash()
        asyncio.get_running_loop().call_later(ENTRY_EXPIRES_AFTER_S, self._expire_entry, host_id)

    def _expire_entry(self, host_id: str) -> None:
        """Remove the entry of a host, unless another incarnation is up under its id."""
        incarnations = (host for host in self.hosts.hosts.values() if host.record.id == host_id)
        if not any(host.is_up for host in incarnations):
            self.unlist_host(host_id)

    def resize_host(self, host_id: str, capacity: Resources) -> None:
        """Change the capacity of a running host; its entry shows the change at once."""
        for host in self.hosts.hosts.values():
            if host.record.id == host_id:
                host.resize(replace(host.record, capacity=capacity))
                self.list_host(host.record)

    def crash_and_replace_host(self, host_id: str) -> None:
        """Crash a host; its machine starts another one ``host_replacement_s`` later."""
        self.crash_host(host_id)
        loop = asyncio.get_running_loop()
        loop.call_later(self.host_replacement_s, self.machines.restart, host_id)

    def start_node(
        self,
        name: str,
        capacity_millicores: int = 1000,
        policy: PolicySettings | None = None,
        reads_parts: bool = True,
    ) -> RunningNode:
        """Start a node, as a new incarnation if the name was used before.

        Other nodes take one that does not ``reads_parts`` for a node of an older build.
        """
        # 1 is added because the loop's clock starts at 0, and a start time of 0 means that the
        # process doesn't report one.
        started_at_ms = 1 + int(asyncio.get_running_loop().time() * 1000)
        incarnation = f"life{next(self._incarnation_numbers)}"
        if reads_parts:
            incarnation = make_incarnation(incarnation)
        member = Member(name, incarnation, name, capacity_millicores, started_at_ms)
        environment = NodeEnvironment(
            store=self.store.connect(name),
            hosts=self.hosts.connect(name),
            machines=self.machines.connect(name),
            advice=self.advice,
            peers=_PeersClient(self, name),
            records=RECORDS,
            events=EventLog(name, write=self.events.append),
            get_wall_ms=lambda: int(asyncio.get_running_loop().time() * 1000),
            policy=policy or PolicySettings(),
        )
        settings = make_settings(name, self.bounds, self.store_limits)
        holder = SettingsHolder(settings, lambda: settings, environment.events)
        node = RunningNode(name, assemble_node(holder, environment, member))
        self.nodes[name] = node
        return node

    def kill_node(self, name: str) -> None:
        """End a node without a shutdown; its connections are closed."""
        self.nodes.pop(name).assembled.node.cancel()
        for connections in self._list_connections():
            connections.close(name)

    def silence_connections(self) -> None:
        """Make all open connections of nodes silent permanently; new ones work."""
        for connections in self._list_connections():
            connections.silence()

    def _list_connections(self) -> tuple[OpenConnections, ...]:
        return (
            self.peer_connections,
            self.store.faults.connections,
            self.hosts.faults.connections,
            self.machines.faults.connections,
        )

    def cut_node(self, name: str) -> None:
        """Cut a node off from other nodes, the store and the hosts."""
        self.cut_nodes.add(name)
        self.store.faults.silent.add(name)
        self.hosts.faults.silent.add(name)

    def heal_node(self, name: str) -> None:
        """Reconnect a node that was cut off."""
        self.cut_nodes.discard(name)
        self.store.faults.silent.discard(name)
        self.hosts.faults.silent.discard(name)
