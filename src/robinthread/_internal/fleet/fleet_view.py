"""The planner's input, a view of the fleet, and its output, a plan with orders."""

from dataclasses import dataclass, field

from robinthread._internal.fleet.pool_report import HostStatus, PoolReport
from robinthread._internal.fleet.sizing import PoolSize
from robinthread._internal.models.machine import Machine, MachineState


@dataclass(frozen=True)
class WaveView:
    """A maintenance wave: its remaining upkeep, and how many machines may start upkeep now.

    Of its ``machines``, ``pending`` are those whose upkeep has not started.  ``down`` are those
    that are down or may be; the latter are ``unconfirmed``.  ``unsettled`` are pending machines
    whose upkeep an earlier steward ordered: they count as down, and may be ordered again, which
    settles them.  The wave ends in ``left_s`` seconds.
    """

    number: int
    machines: frozenset[str]
    pending: frozenset[str]
    at_once_max: int
    down: frozenset[str]
    left_s: float
    unsettled: frozenset[str] = frozenset()
    unconfirmed: frozenset[str] = frozenset()

    @property
    def free_slots(self) -> int:
        """Return how many machines may start upkeep now, in addition to the unsettled ones."""
        return max(0, self.at_once_max - len(self.down | self.unsettled))


@dataclass(frozen=True)
class PoolView:
    """A pool, its owner's report, and its machines by name.

    The report may be older than the list of machines, so ``hosts`` are only those that the list
    still shows as up.

    ``arriving`` are machines that will serve soon: they are moving to the pool or returning from
    upkeep, or their host is up but not yet reported by the pool's owner.
    """

    name: str
    report: PoolReport
    machines: dict[str, Machine]
    arriving: tuple[Machine, ...] = ()

    @property
    def hosts(self) -> tuple[HostStatus, ...]:
        """Return the status of the hosts that are the current incarnations of their machines."""
        return tuple(host for host in self.report.hosts if self._is_current(host))

    def _is_current(self, host: HostStatus) -> bool:
        machine = self.machines.get(host.machine)
        return (
            machine is not None
            and machine.state is MachineState.UP
            and machine.host_id == host.host_id
        )


@dataclass(frozen=True)
class FleetView:
    """All input of one planning step.

    ``reserve`` are the machines of the reserve pool, which are off.  ``ordered`` are machines
    that must get no order now, since one is under way, or was given or failed recently; of
    these, ``leaving`` may not stay in their pools.  The hosts of ``silent_halls`` do not respond,
    those of ``evacuated_halls`` get no work because operators asked for that.
    ``has_workspaces``: the configuration has workspaces.
    """

    pools: tuple[PoolView, ...]
    reserve_pool: str
    reserve: tuple[Machine, ...]
    ordered: frozenset[str]
    waves: tuple[WaveView, ...]
    silent_halls: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    evacuated_halls: frozenset[str] = frozenset()
    has_workspaces: bool = False


@dataclass(frozen=True)
class MoveOrder:
    """Move a machine to a pool."""

    machine: str
    pool: str


@dataclass(frozen=True)
class UpkeepOrder:
    """Start a machine's upkeep for a wave."""

    machine: str
    wave: int


@dataclass(frozen=True)
class FleetPlan:
    """The orders to give now, the machines that each pool should vacate, and the pools' sizes.

    ``sizes`` are the sizes that the pools need, ``shares`` those that they may have.  Another pool
    needs the machines in ``vacate_at_once``, which are part of ``vacate``.
    """

    orders: tuple[MoveOrder | UpkeepOrder, ...] = ()
    vacate: dict[str, frozenset[str]] = field(default_factory=dict)
    sizes: dict[str, PoolSize] = field(default_factory=dict)
    shares: dict[str, PoolSize] = field(default_factory=dict)
    vacate_at_once: dict[str, frozenset[str]] = field(default_factory=dict)
