"""Machines whose upkeep has begun, until they are back."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.node.pool_runtime import get_loop_s

# A machine that is not back so long after its upkeep should be over is lost, and its wave goes on
# without it.  Hosts take some seconds to start where their machines are busy; a wave may have
# 25 s for several rounds.
RETURN_DELAY_MAX_S: Final = 10.0

# Returns the life that a machine's host is, as the owner of its pool names it: "" where it has
# none, None where it is not heard of.
FindIncarnation = Callable[[Machine], str | None]


@dataclass(frozen=True, slots=True)
class _Downtime:
    """Since when a machine is down, and until when at least; which life of a host it was before.

    The life is "" where it is not known.  Where ``is_unconfirmed`` it may be back.
    """

    since_s: float
    until_s: float
    previous_incarnation: str = ""
    is_unconfirmed: bool = False


class UpkeepTracker:
    """Tells which machines are not back yet from their upkeep, of whatever wave.

    The list of machines alone does not tell.  It may show a machine as up before its host has
    come, in another state than upkeep until then, or as it was before the order: with hosts 1 s
    late, or a list 0.5 s late, a wave that allows one machine had two down.  So a machine stays
    down for ``upkeep_s`` after its order was answered, and from then on until the list shows it up
    as another host than before, or as another life of it, one that its pool's owner names.
    """

    def __init__(self, upkeep_s: float) -> None:
        self._upkeep_s = upkeep_s
        self._downtimes: dict[str, _Downtime] = {}
        self._incarnations: dict[str, str] = {}
        self._is_seen = False

    def record_start(self, machine: str, is_unconfirmed: bool = False) -> None:
        """Note that a machine's upkeep has begun, now at the latest; it may be back if doubtful."""
        now_s = get_loop_s()
        previous = self._incarnations.get(machine, "")
        self._downtimes[machine] = _Downtime(
            now_s, now_s + self._upkeep_s, previous, is_unconfirmed
        )

    def record_observation(
        self,
        machines: Mapping[str, Machine],
        find_incarnation: FindIncarnation,
        begun: frozenset[str],
    ) -> None:
        """Take in the machines as listed last; ``find_incarnation`` tells whose host is heard of.

        What is in upkeep has begun, by whoever's order.  What had ``begun`` under an earlier
        steward and is not up when machines are first seen may not be back since.
        """
        now_s = get_loop_s()
        for name, machine in machines.items():
            may_be_down = (
                not self._is_seen and name in begun and machine.state is not MachineState.UP
            )
            if machine.state is MachineState.UPKEEP or may_be_down:
                self._downtimes.setdefault(
                    name, _Downtime(now_s, now_s, is_unconfirmed=may_be_down)
                )
        self._is_seen = True
        self._incarnations = {
            name: find_incarnation(machine) or machine.host_id for name, machine in machines.items()
        }
        self._downtimes = {
            name: downtime
            for name, downtime in self._downtimes.items()
            if name in machines and not self._is_back(machines[name], downtime, find_incarnation)
        }

    def list_down(self, machines: Iterable[str]) -> frozenset[str]:
        """Return those of some machines that are not back."""
        return frozenset(name for name in machines if name in self._downtimes)

    def list_unconfirmed(self, machines: Iterable[str]) -> frozenset[str]:
        """Return those of some machines that are not known to be back, and may be."""
        return frozenset(
            name for name in self.list_down(machines) if self._downtimes[name].is_unconfirmed
        )

    def _is_back(
        self, machine: Machine, downtime: _Downtime, find_incarnation: FindIncarnation
    ) -> bool:
        now_s = get_loop_s()
        if now_s < downtime.until_s or machine.state is MachineState.UPKEEP:
            return False
        if now_s >= downtime.since_s + self._upkeep_s + RETURN_DELAY_MAX_S:
            return True
        incarnation = find_incarnation(machine)
        is_previous = incarnation != "" and incarnation == downtime.previous_incarnation
        return machine.state is MachineState.UP and incarnation is not None and not is_previous
