"""In-memory stand-in for the platform's machines.

Each machine is a host of its pool, or switched off in the reserve.
"""

import asyncio
import itertools
from collections import deque
from dataclasses import dataclass
from typing import Final, Protocol

from robinthread._internal.fleet.machine_errors import (
    MachineBusyError,
    MachineFencedError,
    MachineMisfitError,
    MachineNoAnswerError,
    MachineRefusedError,
)
from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.models.resources import Resources
from robinthread._internal.standins.call_faults import (
    CallFaults,
    CallRefusedError,
    CallUnansweredError,
)
from robinthread._internal.standins.wave_ledger import WaveLedger

MOVE_S: Final = 1.5
UPKEEP_S: Final = 2.0
CALL_TIMEOUT_S: Final = 1.0
LATENCY_S: Final = 0.002


@dataclass
class _MachineRecord:
    name: str
    pool: str
    state: MachineState
    capacity: Resources
    rack: str
    host_id: str = ""
    crashed_id: str = ""
    token: int = 0
    holder: str = ""


class HostLifecycle(Protocol):
    """Starts and ends incarnations of hosts; called by ``MachinesStandin``."""

    def begin(self, machine: str, pool: str, rack: str, capacity: Resources) -> str:
        """Start a host on a machine and return the host's id."""

    def end(self, host_id: str) -> None:
        """End a host and all its runs."""


class MachinesStandin:
    """Machines by name; ``reserve`` is the pool whose machines are switched off.

    A machine's host starts ``host_late_s`` after the machine's move or upkeep is due to end;
    until then the list shows the machine in the state ``state_before_host``.  ``halls_by_rack``
    names the data hall of each rack; racks without an entry are in the hall "".
    """

    def __init__(self, reserve: str, host_lifecycle: HostLifecycle, seed: int = 1) -> None:
        self.faults = CallFaults(seed, LATENCY_S)
        self.machines: dict[str, _MachineRecord] = {}
        self.waves = WaveLedger()
        self.halls_by_rack: dict[str, str] = {}
        self.host_late_s = 0.0
        self.state_before_host = MachineState.UP
        self._list_lag_s = 0.0
        self.move_count = 0
        self._past_lists: deque[tuple[float, tuple[Machine, ...]]] = deque()
        self._reserve = reserve
        self._host_lifecycle = host_lifecycle
        self._names = itertools.count()

    def add(self, pool: str, rack: str, capacity: Resources) -> str:
        """Add a machine that is up; return its name."""
        name = f"m-{next(self._names)}"
        record = _MachineRecord(name, pool, MachineState.UP, capacity, rack)
        self.machines[name] = record
        self._come_up(record)
        return name

    def record_crash(self, host_id: str) -> None:
        """Show the machine of a crashed host as down."""
        for record in self.machines.values():
            if record.host_id == host_id:
                record.host_id, record.state, record.crashed_id = "", MachineState.DOWN, host_id
                self._save_list()

    def restart(self, host_id: str) -> None:
        """Start a new host on the machine of a crashed host, if the machine is still down."""
        for record in self.machines.values():
            if record.crashed_id == host_id and record.state is MachineState.DOWN:
                self._come_up(record)

    def connect(self, caller: str) -> "MachinesClient":
        """Return a client that calls the machines as ``caller``."""
        return MachinesClient(self, caller)

    def move(self, machine: str, pool: str, holder: str, token: int) -> None:
        """Move a machine to a pool; a repeated order has no effect."""
        record = self._check(machine, holder, token)
        if record.pool == pool:
            return
        self._check_up(record)
        self.move_count += 1
        record.pool = pool
        self._go_down(record, MachineState.MOVING, MOVE_S)

    def begin_upkeep(self, machine: str, wave: int, holder: str, token: int) -> None:
        """Start a machine's upkeep for a wave; a repeated order has no effect."""
        record = self._check(machine, holder, token)
        if self.waves.has_begun(machine, wave):
            return
        self._check_up(record)
        self.waves.record_start(machine, wave, holder)
        self._go_down(record, MachineState.UPKEEP, UPKEEP_S)

    def delay_lists(self, lag_s: float) -> None:
        """Make lists show the machines as they were ``lag_s`` ago."""
        self._list_lag_s = lag_s
        self._save_list()

    def list_machines(self) -> tuple[Machine, ...]:
        """Return the machines as the list shows them now, with its lag."""
        if not self._list_lag_s:
            return self._make_list()
        as_of_s = asyncio.get_running_loop().time() - self._list_lag_s
        while len(self._past_lists) > 1 and self._past_lists[1][0] <= as_of_s:
            self._past_lists.popleft()
        return self._past_lists[0][1]

    def _make_list(self) -> tuple[Machine, ...]:
        return tuple(
            Machine(
                record.name,
                record.pool,
                record.state,
                self.halls_by_rack.get(record.rack, ""),
                record.rack,
                "",
                record.capacity,
                record.host_id,
            )
            for record in self.machines.values()
        )

    def _save_list(self) -> None:
        """Save the current list, to be shown after the lag."""
        if self._list_lag_s:
            self._past_lists.append((asyncio.get_running_loop().time(), self._make_list()))

    def _check(self, machine: str, holder: str, token: int) -> _MachineRecord:
        record = self.machines.get(machine)
        if record is None:
            raise MachineMisfitError("no such machine")
        if token < record.token:
            raise MachineFencedError("fence")
        record.token, record.holder = token, holder
        return record

    def _check_up(self, record: _MachineRecord) -> None:
        if record.state is not MachineState.UP:
            raise MachineBusyError("busy")

    def _go_down(self, record: _MachineRecord, state: MachineState, for_s: float) -> None:
        if record.host_id:
            self._host_lifecycle.end(record.host_id)
        record.host_id, record.state = "", state
        self._save_list()
        has_host = record.pool != self._reserve
        next_step = self._show_before_host if has_host and self.host_late_s else self._come_up
        asyncio.get_running_loop().call_later(for_s, next_step, record)

    def _show_before_host(self, record: _MachineRecord) -> None:
        """Show a machine in ``state_before_host`` until its host starts."""
        record.state = self.state_before_host
        self._save_list()
        asyncio.get_running_loop().call_later(self.host_late_s, self._come_up, record)

    def _come_up(self, record: _MachineRecord) -> None:
        record.state = MachineState.UP
        if record.pool != self._reserve:
            record.host_id = self._host_lifecycle.begin(
                record.name, record.pool, record.rack, record.capacity
            )
        self.waves.record_return(record.name)
        self._save_list()


class MachinesClient:
    """One caller's client of the machines; implements ``MachineCalls``."""

    def __init__(self, standin: MachinesStandin, caller: str) -> None:
        self._standin = standin
        self._caller = caller

    async def list_machines(self) -> tuple[Machine, ...]:
        """List all machines."""
        return await self._call(self._standin.list_machines, is_change=False)

    async def move(self, machine: str, pool: str, holder: str, token: int) -> None:
        """Move a machine to a pool."""
        await self._call(lambda: self._standin.move(machine, pool, holder, token))

    async def begin_upkeep(self, machine: str, wave: int, holder: str, token: int) -> None:
        """Start a machine's upkeep."""
        await self._call(lambda: self._standin.begin_upkeep(machine, wave, holder, token))

    async def _call(self, work, is_change: bool = True):  # type: ignore[no-untyped-def]
        faults = self._standin.faults
        try:
            return await faults.carry_out(self._caller, work, CALL_TIMEOUT_S, is_change)
        except CallRefusedError as error:
            raise MachineRefusedError(f"call of {self._caller} was refused") from error
        except CallUnansweredError as error:
            raise MachineNoAnswerError(f"no response within {CALL_TIMEOUT_S} s") from error
