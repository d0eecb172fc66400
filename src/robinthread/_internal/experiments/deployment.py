"""A deployment as an experiment plays it: nodes, machines, queues, troubles and prices."""

import enum
from dataclasses import dataclass, field
from typing import Final

SECONDS_PER_US: Final = 1e-6


class Shape(enum.Enum):
    """How a queue's demand lies in time.

    STEADY: ``jobs_per_s`` all day.  TURNS: five times as much in its turn, a twentieth between
    its turns.  RAMP: from nothing to twice as much.
    """

    STEADY = "steady"
    TURNS = "turns"
    RAMP = "ramp"


class TroubleKind(enum.Enum):
    """What goes wrong."""

    KILL_NODES = "kill_nodes"
    CUT_NODES = "cut_nodes"
    CRASH_HOSTS = "crash_hosts"
    SLOW_STORE = "slow_store"
    STORE_AWAY = "store_away"


SHAPES: Final = tuple(shape.value for shape in Shape)
TROUBLE_KINDS: Final = tuple(kind.value for kind in TroubleKind)


@dataclass(frozen=True)
class NodesSpec:
    """Nodes, all alike: each has a share of a core.

    A call of a host or of machines takes ``call_ms``, one of the store ``store_ms``.
    """

    count: int = 5
    processor_share: float = 0.5
    call_ms: float = 1.0
    store_ms: float = 4.0


@dataclass(frozen=True)
class MachinesSpec:
    """Machines, all alike; those beside the reserve begin in the pools, as many in each.

    Where ``keeps_host_ids`` a machine's next host has the id of the last one, and tells its birth.
    """

    count: int = 16
    reserve: int = 2
    racks: int = 4
    cpu_millicores: int = 16_000
    memory_mb: int = 32_000
    keeps_host_ids: bool = False


@dataclass(frozen=True)
class QueueSpec:
    """A queue: its demand, its jobs and what one of them is worth on time.

    A job has one step of ``tasks`` tasks, each of which works for ``work_s``, give or take a
    share of ``work_spread``.  It is on time within ``stretch`` times its work plus ``slack_s``.
    """

    pool: str = ""
    jobs_per_s: float = 1.0
    shape: str = Shape.STEADY.value
    tasks: int = 4
    work_s: float = 0.8
    work_spread: float = 0.3
    cpu_millicores: int = 2000
    memory_mb: int = 500
    stretch: float = 1.6
    slack_s: float = 0.6
    worth: float = 1.0


@dataclass(frozen=True)
class TroubleSpec:
    """Something that goes wrong ``at_s`` after the first job, for ``for_s``.

    ``share`` is that of the nodes or hosts that it strikes; ``times`` how much slower the
    store becomes.
    """

    kind: str = TroubleKind.KILL_NODES.value
    at_s: float = 5.0
    for_s: float = 3.0
    share: float = 0.2
    times: float = 20.0


@dataclass(frozen=True)
class PricesSpec:
    """What is taken off the worth: for a machine's second in a pool, and for its move."""

    machine_s: float = 0.0
    move: float = 0.0


@dataclass(frozen=True)
class CostsSpec:
    """What a node's calls cost of a core: docs/CAPACITY.md has the measurements.

    ``host_call_us`` has the engine's part of a start or an end in it.
    """

    store_call_us: float = 200.0
    host_call_us: float = 250.0
    machine_call_us: float = 200.0
    node_call_us: float = 250.0


@dataclass(frozen=True)
class Deployment:
    """A deployment, and the day that is played there.

    ``turn_s`` is how long a turn lasts; queues whose demand comes in turns take them in the
    order in which they are described.
    """

    name: str = ""
    length_s: float = 30.0
    turn_s: float = 5.0
    nodes: NodesSpec = field(default_factory=NodesSpec)
    machines: MachinesSpec = field(default_factory=MachinesSpec)
    queues: dict[str, QueueSpec] = field(default_factory=dict)
    troubles: dict[str, TroubleSpec] = field(default_factory=dict)
    prices: PricesSpec = field(default_factory=PricesSpec)
    costs: CostsSpec = field(default_factory=CostsSpec)

    @property
    def pools(self) -> tuple[str, ...]:
        """List the pools, in the order of their queues."""
        return tuple(dict.fromkeys(queue.pool for queue in self.queues.values()))
