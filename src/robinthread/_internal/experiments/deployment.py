"""Description of a deployment to simulate: nodes, machines, queues, troubles and prices.

The names of fields are the keys of an experiment's file.
"""

import enum
from dataclasses import dataclass, field
from typing import Final

SECONDS_PER_US: Final = 1e-6


class Shape(enum.Enum):
    """Arrival rate of a queue's jobs over the day.

    STEADY: constantly ``jobs_per_s``.
    TURNS: five times ``jobs_per_s`` during the queue's turn, a twentieth of it between turns.
    RAMP: rises linearly from 0 to twice ``jobs_per_s``.
    """

    STEADY = "steady"
    TURNS = "turns"
    RAMP = "ramp"


class TroubleKind(enum.Enum):
    """Kinds of faults that can be injected.

    KILL_NODES: nodes end without a shutdown and start again after ``for_s``.
    CUT_NODES: nodes cannot reach the store, the hosts and other nodes.
    CRASH_HOSTS: hosts crash, and their machines start new ones after ``for_s``.
    SLOW_STORE: the latency of the store rises.
    STORE_AWAY: the store refuses all calls.
    """

    KILL_NODES = "kill_nodes"
    CUT_NODES = "cut_nodes"
    CRASH_HOSTS = "crash_hosts"
    SLOW_STORE = "slow_store"
    STORE_AWAY = "store_away"


SHAPES: Final = tuple(shape.value for shape in Shape)
TROUBLE_KINDS: Final = tuple(kind.value for kind in TroubleKind)


@dataclass(frozen=True)
class NodesSpec:
    """Nodes, all identical.

    Each has ``processor_share`` of a core.  A call to a host or to the machines takes
    ``call_ms``, a call to the store ``store_ms``.
    """

    count: int = 5
    processor_share: float = 0.5
    call_ms: float = 1.0
    store_ms: float = 4.0


@dataclass(frozen=True)
class MachinesSpec:
    """Machines, all identical.

    ``count`` machines start in the pools, distributed evenly, and ``reserve`` more in the
    reserve.  If ``keeps_host_ids`` is set, a machine's next host has the id of the previous one,
    and its start time tells the two apart.
    """

    count: int = 16
    reserve: int = 2
    racks: int = 4
    cpu_millicores: int = 16_000
    memory_mb: int = 32_000
    keeps_host_ids: bool = False


@dataclass(frozen=True)
class QueueSpec:
    """A queue: its arrival rate, the size of its jobs and the worth of a job on time.

    A job has one step of ``tasks`` tasks.  The duration of a task is uniformly distributed
    within ``work_s`` plus or minus the fraction ``work_spread`` of it.  A job is on time if it
    takes at most ``stretch`` times the duration of its longest task plus ``slack_s``.
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
    """A fault that is injected ``at_s`` after the day's start and lasts for ``for_s``.

    ``share`` is the share of the nodes or hosts that are affected, ``times`` the factor by which
    the latency of the store rises.
    """

    kind: str = TroubleKind.KILL_NODES.value
    at_s: float = 5.0
    for_s: float = 3.0
    share: float = 0.2
    times: float = 20.0


@dataclass(frozen=True)
class PricesSpec:
    """Prices subtracted from the worth: of a second of a machine in a pool, and of a move."""

    machine_s: float = 0.0
    move: float = 0.0


@dataclass(frozen=True)
class CostsSpec:
    """Processor time of a node's calls, in microseconds of a whole core.

    The measurements are in docs/CAPACITY.md.  ``host_call_us`` includes the engine's processing
    of the start or the end of a run.
    """

    store_call_us: float = 200.0
    host_call_us: float = 250.0
    machine_call_us: float = 200.0
    node_call_us: float = 250.0


@dataclass(frozen=True)
class Deployment:
    """A deployment and the day to simulate on it.

    ``turn_s`` is the length of a turn.  The queues of shape TURNS have their turns one after
    another, in the order of ``queues``.
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
        """Return the names of the pools, in the order of their first queues."""
        return tuple(dict.fromkeys(queue.pool for queue in self.queues.values()))
