"""What the steward decides on."""

from dataclasses import dataclass, field

from robinthread._internal.fleet.pool_report import HostStatus, PoolReport
from robinthread._internal.fleet.sizing import PoolSize
from robinthread._internal.models.machine import Machine, MachineState


@dataclass(frozen=True)
class WaveView:
    """A maintenance wave: what is left of it and how many may begin now.

    Of its ``machines``, ``pending`` are those whose upkeep has not begun, and ``down`` those that
    are down or may be, the latter ``unconfirmed``.  Of the pending ones, an earlier steward ordered
    the ``unsettled``: they count as down, and may be ordered all the same, which settles them.
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
        """Return how many machines beside the unsettled ones may begin their upkeep now."""
        return max(0, self.at_once_max - len(self.down | self.unsettled))


@dataclass(frozen=True)
class PoolView:
    """A pool, its owner's report, and its machines.

    The report may be older than the list of machines: only ``hosts`` that the
    list still shows as up are there.

    ``arriving`` are machines that will serve soon: they move here, come back
    from upkeep, or their host has not been heard of yet.
    """

    name: str
    report: PoolReport
    machines: dict[str, Machine]
    arriving: tuple[Machine, ...] = ()

    @property
    def hosts(self) -> tuple[HostStatus, ...]:
        """Return the standing of the hosts that are still lives of their machines."""
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
    """All that a decision rests on.

    ``reserve`` are the machines that are off and free to be ordered, and
    ``ordered`` those that are to get no order now; of these, ``leaving`` may not stay where
    they are.  The hosts of ``silent_halls`` do not answer.
    """

    pools: tuple[PoolView, ...]
    reserve_pool: str
    reserve: tuple[Machine, ...]
    ordered: frozenset[str]
    waves: tuple[WaveView, ...]
    silent_halls: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


@dataclass(frozen=True)
class MoveOrder:
    """Move a machine to a pool."""

    machine: str
    pool: str


@dataclass(frozen=True)
class UpkeepOrder:
    """Begin a machine's upkeep for a wave."""

    machine: str
    wave: int


@dataclass(frozen=True)
class FleetPlan:
    """What to order now, which machines each pool is to empty, and its size.

    ``sizes`` are what the pools need, ``shares`` what they may have of it.
    """

    orders: tuple[MoveOrder | UpkeepOrder, ...] = ()
    vacate: dict[str, frozenset[str]] = field(default_factory=dict)
    sizes: dict[str, PoolSize] = field(default_factory=dict)
    shares: dict[str, PoolSize] = field(default_factory=dict)
