"""Settings of a node: its addresses, resources and time bounds."""

from dataclasses import dataclass, field

from robinthread._internal.durable.record_limits import RecordLimits
from robinthread._internal.utils.listener_limits import ProcessLimits


@dataclass(frozen=True, slots=True)
class NodeBounds:
    """Bounds that the deployment sets, in the unit of each field's suffix.

    ``lease_max_ms`` is the longest lease that a host grants.  ``host_stop_ms`` is the longest
    duration of a stop.  ``visible_ms`` is the time within which every node knows of an accepted
    job, ``config_apply_ms`` the same for a new configuration.
    ``steward_turn_ms`` is the minimum time between the orders of two stewards.
    ``harm_ms`` is how long the neighbours of a serving task may push it over its target, and
    ``pace_ms`` how long a host takes to slow a task down.
    ``evacuation_ms`` is the time within which the hosts of an evacuated hall get no more starts; 0
    if operators evacuate no halls.  Cold hosts may get ``cold_overage`` times the starts that their
    pool allows, and ``cold_slack`` more.
    """

    lease_max_ms: float
    host_stop_ms: float
    gang_timeout_ms: float
    cancel_ms: float
    visible_ms: float
    early_ms: float
    drain_ms: float
    config_apply_ms: float
    stop_grace_s: float
    keep_ended_s: float
    far_factor: float
    checkpoint_interval_s: float
    restore_ms: float
    away_notice_ms: float
    machine_move_s: float
    machine_upkeep_s: float
    steward_turn_ms: float
    harm_ms: float
    pace_ms: float
    evacuation_ms: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the platform's store."""

    partition_count: int
    record_max_bytes: int
    call_max_bytes: int
    member_ttl_min_ms: int

    @property
    def record_limits(self) -> RecordLimits:
        """Return the limits on the size of records and calls."""
        return RecordLimits(self.record_max_bytes, self.call_max_bytes)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node.  Addresses are ``host:port``.

    ``peer_ports`` is the inclusive range of ports on which nodes may listen for each other.
    ``halls`` are the data halls of the deployment, ``limits`` those of the node's process.
    """

    name: str
    ip: str
    hall: str
    caller_address: str
    ready_address: str
    peer_ports: tuple[int, int]
    store_address: str
    machines_address: str
    advice_address: str
    machine_calls_per_s: float
    cpu_cores: float
    link_mbps: float
    bounds: NodeBounds
    store: StoreLimits
    halls: tuple[str, ...] = ()
    limits: ProcessLimits = field(default_factory=ProcessLimits)
