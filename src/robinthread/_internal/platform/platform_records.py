"""Records of the operators and of job hosts in the platform's store."""

import re
from typing import Annotated, Final, Literal

import msgspec

from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.models.fleet_config import (
    HEADER_MAX_BYTES,
    FleetConfig,
    make_fleet_config,
)
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.queue_policy import AdvicePolicy, QueuePolicy
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.models.workspace_policy import WorkspacePolicy, digest_keys
from robinthread._internal.node.environment import PlatformRecords
from robinthread._internal.platform.host_start_time import HostStartTime, get_host_started_at_ms
from robinthread._internal.utils.foreign_input import (
    DURATION_MAX_MS,
    Address,
    Amount,
    Count,
    DurationMs,
    MalformedInputError,
    Milliseconds,
    Number,
    Ratio,
    Seconds,
    Size,
    decode_json,
    reads_foreign_input,
    shorten,
)

WAVE_PREFIX: Final = "wave/"
EVACUATION_PREFIX: Final = "evacuate/"
# Ids of hosts, which are header values of the calls to them.  An id that ends in "@" and digits
# would be that of one incarnation of another host.
HOST_ID: Final = re.compile(r"(?!.*@[0-9]+\Z)[!-~]{1,255}")
Name = Annotated[str, msgspec.Meta(min_length=1)]


class WireCapacity(msgspec.Struct):
    """Capacity of a host or machine, or limit of a workspace."""

    cpu: Size = 0
    mem_mb: Size = 0
    gpu: Size = 0

    def decode(self) -> Resources:
        """Return the capacity as ``Resources``."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class _WireAdvice(msgspec.Struct):
    decide_ms: DurationMs = 0
    per_item_ms: DurationMs = 0
    valid_ms: DurationMs = 0


class _WireRoute(msgspec.Struct):
    # The platform calls a queue a route, and its pool the route's service.
    name: str
    host: str
    path_prefix: str
    service: str
    priority: Number = 0
    attempts: Number = 1
    stretch: Ratio = 1.0
    target_latency_ms: DurationMs = 0
    advice: _WireAdvice | None = None
    public: bool | None = None


class _WireService(msgspec.Struct):
    name: str
    max_conns: Number = 0
    admission_check: bool = False
    headroom: bool = False
    cold_start_s: Amount = 0
    cold_per_s: Amount = 0


class _WireTenant(msgspec.Struct):
    # The platform calls a workspace a tenant.
    name: Name
    api_keys: list[str] = []
    weight: Ratio = 0
    maximum: WireCapacity = msgspec.field(default_factory=WireCapacity)


class _WireLimits(msgspec.Struct):
    max_body_bytes: Number = 262_144
    max_header_bytes: Number = HEADER_MAX_BYTES


class _WireConfig(msgspec.Struct):
    version: Number
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[_WireTenant] = []


class _WireHost(msgspec.Struct):
    # Fields that every host writes are required, even if they are not used here: a record without
    # them, or with other values, is not the record of a host.
    service: Name
    address: Address
    zone: Name
    version: str
    slots: Count
    state: Literal["ready", "draining"]
    cold_remaining_ms: Milliseconds
    sequence: Count
    machine: str = ""
    capacity: WireCapacity = msgspec.field(default_factory=WireCapacity)
    labels: list[str] = []
    remaining_ms: Annotated[int, msgspec.Meta(ge=0, le=DURATION_MAX_MS)] = 0
    born: HostStartTime = msgspec.UNSET


class _WireEvacuation(msgspec.Struct):
    """A request to evacuate a data hall; the platform defines no fields."""


class _WireWave(msgspec.Struct):
    wave: Number
    machines: list[str]
    duration_s: Seconds
    maximum: Number


@reads_foreign_input
def parse_config(value: bytes) -> FleetConfig:
    """Decode a configuration; raise ``MalformedInputError`` if it is malformed."""
    wire = decode_json(value, _WireConfig)
    return make_fleet_config(
        wire.version,
        tuple(_parse_queue(route, bool(wire.tenants)) for route in wire.routes),
        tuple(map(_parse_pool, wire.services)),
        wire.limits.max_body_bytes,
        tuple(map(_parse_workspace, wire.tenants)),
        wire.limits.max_header_bytes,
    )


@reads_foreign_input
def parse_host(host_id: str, value: bytes) -> UpstreamHost:
    """Decode a host's record of itself; raise ``MalformedInputError`` if it is malformed."""
    wire = decode_json(value, _WireHost)
    if not HOST_ID.fullmatch(host_id):
        raise MalformedInputError(f"not the id of a host: {shorten(repr(host_id))}")
    return UpstreamHost(
        id=host_id,
        machine=wire.machine or host_id,
        pool=wire.service,
        address=wire.address,
        hall=wire.zone,
        rack=parse_rack(wire.labels),
        capacity=wire.capacity.decode(),
        labels=frozenset(wire.labels),
        is_draining=wire.state == "draining",
        leaves_in_ms=wire.remaining_ms,
        host_started_at_ms=get_host_started_at_ms(wire.born),
        cold_for_ms=wire.cold_remaining_ms,
    )


@reads_foreign_input
def parse_wave(value: bytes) -> UpkeepWave:
    """Decode a maintenance wave; raise ``MalformedInputError`` if it is malformed."""
    wire = decode_json(value, _WireWave)
    return UpkeepWave(wire.wave, tuple(wire.machines), wire.duration_s, wire.maximum)


def parse_evacuation(value: bytes) -> None:
    """Check a request to evacuate a data hall; raise ``MalformedInputError`` if malformed."""
    decode_json(value, _WireEvacuation)


def make_wave_status(wave: int, is_done: bool) -> KeyedRecord:
    """Make the status record of a wave for the operators."""
    value = msgspec.json.encode({"state": "succeeded" if is_done else "running"})
    return KeyedRecord(f"{WAVE_PREFIX}{wave}", value)


def parse_rack(labels: list[str]) -> str:
    """Return the rack from the labels, which are the kind and then the rack; "" if missing."""
    return labels[1] if len(labels) > 1 else ""


def _parse_queue(route: _WireRoute, has_workspaces: bool) -> QueuePolicy:
    """Convert a route; if there are workspaces, it is public only if it is marked so."""
    advice = route.advice
    return QueuePolicy(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        pool=route.service,
        priority=route.priority,
        attempts_max=route.attempts,
        stretch=route.stretch,
        latency_target_ms=route.target_latency_ms,
        advice=None
        if advice is None
        else AdvicePolicy(advice.decide_ms, advice.per_item_ms, advice.valid_ms),
        is_public=not has_workspaces if route.public is None else route.public,
    )


def _parse_pool(service: _WireService) -> PoolPolicy:
    return PoolPolicy(
        service.name,
        service.admission_check,
        service.headroom,
        service.max_conns,
        service.cold_start_s,
        service.cold_per_s,
    )


def _parse_workspace(tenant: _WireTenant) -> WorkspacePolicy:
    return WorkspacePolicy(
        tenant.name, digest_keys(tenant.api_keys), tenant.weight, tenant.maximum.decode()
    )


PLATFORM_RECORDS: Final = PlatformRecords(
    operators_partition=Partition("keyed.op"),
    hosts_partition=Partition("keyed.servers"),
    status_partition=Partition("keyed.status"),
    config_key="config",
    wave_prefix=WAVE_PREFIX,
    evacuation_prefix=EVACUATION_PREFIX,
    parse_config=parse_config,
    parse_host=parse_host,
    parse_wave=parse_wave,
    parse_evacuation=parse_evacuation,
    make_wave_status=make_wave_status,
)
