"""External interfaces of a node, as functions and protocols."""

from collections.abc import Callable
from dataclasses import dataclass, field

from robinthread._internal.durable.store import KeyedRecord, Partition, Store
from robinthread._internal.fleet.machine_calls import MachineCalls
from robinthread._internal.jobs.advice_calls import AdviceCalls
from robinthread._internal.jobs.host_calls import HostCalls
from robinthread._internal.models.fleet_config import FleetConfig
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.node.peer_calls import PeerCalls
from robinthread._internal.settings.policy_settings import PolicySettings
from robinthread._internal.telemetry.event_log import EventLog


@dataclass(frozen=True)
class PlatformRecords:
    """Where the records of the platform and of the operators are stored and how they are parsed.

    Keys of waves begin with ``wave_prefix``, those of requests to evacuate a data hall with
    ``evacuation_prefix``, followed by the hall's name.  The parsers raise
    ``msgspec.MsgspecError``, of which ``MalformedInputError`` is one; ``parse_evacuation`` only
    checks the value.
    """

    operators_partition: Partition
    hosts_partition: Partition
    status_partition: Partition
    config_key: str
    wave_prefix: str
    evacuation_prefix: str
    parse_config: Callable[[bytes], FleetConfig]
    parse_host: Callable[[str, bytes], UpstreamHost]
    parse_wave: Callable[[bytes], UpkeepWave]
    parse_evacuation: Callable[[bytes], None]
    make_wave_status: Callable[[int, bool], KeyedRecord]


@dataclass(frozen=True)
class NodeEnvironment:
    """External interfaces of a node; tests replace them by stand-ins.

    ``get_wall_ms`` returns Unix time in milliseconds.  ``policy`` is the policy of its decisions.
    """

    store: Store
    hosts: HostCalls
    machines: MachineCalls
    advice: AdviceCalls
    peers: PeerCalls
    records: PlatformRecords
    events: EventLog
    get_wall_ms: Callable[[], int]
    policy: PolicySettings = field(default_factory=PolicySettings)
