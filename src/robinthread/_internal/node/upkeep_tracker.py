"""Tracks machines from the start of their upkeep until they are back."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.node.pool_runtime import get_loop_s

# A machine that is not back this long after the scheduled end of its upkeep counts as lost, and its
# wave continues without it.  Hosts take some seconds to start on busy machines, and a wave may have
# only 25 s for several rounds.
RETURN_DELAY_MAX_S: Final = 10.0

# Returns the incarnation of a machine's host as the owner of its pool reports it: "" if the machine
# has no host, None if the host has not reported.
FindIncarnation = Callable[[Machine], str | None]


@dataclass(frozen=True, slots=True)
class _Downtime:
    """When a machine went down, when it can be back at the earliest, and its previous host.

    ``previous_incarnation`` is "" if it is not known.  With ``is_unconfirmed``, the machine may
    already be back.
    """

    since_s: float
    until_s: float
    previous_incarnation: str = ""
    is_unconfirmed: bool = False


class UpkeepTracker:
    """Tracks which machines are not yet back from their upkeep, for all waves.

    The machine list alone is not sufficient.  It may show a machine as up before its host has
    started, in a state other than upkeep until then, or as it was before the order: with hosts
    1 s late, or a list 0.5 s late, a wave that allows one machine had two down.  So a machine
    counts as down for ``upkeep_s`` after the response to its order, and then until the list
    shows it up with another host, or with another incarnation of its host, that the owner of
    its pool reports.
    """

    def __init__(self, upkeep_s: float) -> None:
        self._upkeep_s = upkeep_s
        self._downtimes: dict[str, _Downtime] = {}
        self._incarnations: dict[str, str] = {}
        self._is_seen = False

    def record_start(self, machine: str, is_unconfirmed: bool = False) -> None:
        """Record that a machine's upkeep has begun by now; if unconfirmed, it may be over."""
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
        """Apply the last machine list; ``find_incarnation`` returns the hosts that have reported.

        Machines listed in upkeep have begun it, whichever steward ordered it.  A machine whose
        upkeep had ``begun`` under an earlier steward and that is not up in the first list may not
        be back yet.
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
        """Return those of the machines that are not back."""
        return frozenset(name for name in machines if name in self._downtimes)

    def list_unconfirmed(self, machines: Iterable[str]) -> frozenset[str]:
        """Return those of the machines that may be back, but are not confirmed to be."""
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
