"""Tracks the progress of each maintenance wave."""

from collections.abc import Iterable, Mapping

import msgspec

from robinthread._internal.durable.journal import Journal
from robinthread._internal.durable.malformed_records import MalformedRecords
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.durable.wave_records import make_wave_record, parse_wave_record
from robinthread._internal.fleet.fleet_view import UpkeepOrder, WaveView
from robinthread._internal.models.machine import Machine
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.node.environment import PlatformRecords
from robinthread._internal.node.pool_runtime import get_loop_s
from robinthread._internal.node.upkeep_tracker import FindIncarnation, UpkeepTracker
from robinthread._internal.telemetry.event_log import EventLog


class WaveTracker:
    """Tracks which machines have begun their upkeep for a wave and which are back.

    Publishes the status of each wave.  The upkeep of a machine takes ``upkeep_s`` seconds.
    """

    def __init__(
        self,
        journal: Journal,
        status_journal: Journal,
        records: PlatformRecords,
        events: EventLog,
        upkeep_s: float,
    ) -> None:
        self._journal = journal
        self._status_journal = status_journal
        self._records = records
        self._events = events
        self._malformed = MalformedRecords(events, "waves")
        self._begun: dict[int, set[str]] = {}
        self._upkeep_tracker = UpkeepTracker(upkeep_s)
        self._published: dict[int, bool] = {}

    def load(self, records: Iterable[KeyedRecord]) -> None:
        """Load the progress that earlier stewards recorded."""
        for record in records:
            try:
                progress = parse_wave_record(record)
            except msgspec.MsgspecError as error:
                self._malformed.tell(record, error)
                continue
            self._begun[progress.wave] = set(progress.begun)

    async def record_start(self, wave: int, machine: str) -> None:
        """Record, also in the journal, that a machine's upkeep for a wave has begun."""
        self._upkeep_tracker.record_start(machine)
        begun = self._begun.setdefault(wave, set())
        begun.add(machine)
        await self._journal.write([make_wave_record(wave, begun)])

    def record_earlier_orders(self, machines: Iterable[str]) -> None:
        """Record the machines that an earlier steward may have just ordered."""
        for machine in self._list_begun(machines):
            self._upkeep_tracker.record_start(machine, is_unconfirmed=True)

    def record_observation(
        self, machines: Mapping[str, Machine], find_incarnation: FindIncarnation
    ) -> None:
        """Apply the last machine list; ``find_incarnation`` finds the machines' hosts."""
        self._upkeep_tracker.record_observation(
            machines, find_incarnation, self._list_begun(machines)
        )

    def _list_begun(self, machines: Iterable[str]) -> frozenset[str]:
        return frozenset(machines) & frozenset().union(*self._begun.values())

    def has_begun(self, wave: int, machine: str) -> bool:
        """Tell whether a machine's upkeep for a wave has begun."""
        return machine in self._begun.get(wave, ())

    def count_begun(self, wave: int) -> int:
        """Return the number of machines that have begun their upkeep for a wave."""
        return len(self._begun.get(wave, ()))

    def get_pending(self, wave: UpkeepWave, machines: dict[str, Machine]) -> frozenset[str]:
        """Return the listed machines of a wave whose upkeep has not begun."""
        begun = self._begun.get(wave.number, set())
        return frozenset(name for name in wave.machines if name not in begun and name in machines)

    def make_view(
        self,
        wave: UpkeepWave,
        first_seen_at_s: float,
        machines: dict[str, Machine],
        under_way: Mapping[str, object],
        unsettled: Mapping[str, int],
    ) -> WaveView:
        """Return the planner's view of a wave that was first seen at ``first_seen_at_s``.

        The upkeep of the ``unsettled`` machines, each with its wave, may begin without an order of
        this steward, even while this steward is moving the machine.
        """
        members = frozenset(wave.machines) & machines.keys()
        pending = self.get_pending(wave, machines)
        ordered = {name for name in members if isinstance(under_way.get(name), UpkeepOrder)}
        open_orders = {
            name for name in members & unsettled.keys() if not self.has_begun(unsettled[name], name)
        }
        unsettled_here = frozenset(
            name for name in open_orders - under_way.keys() if unsettled[name] == wave.number
        )
        return WaveView(
            number=wave.number,
            machines=members,
            pending=pending,
            at_once_max=wave.at_once_max,
            down=self._upkeep_tracker.list_down(members) | ordered | (open_orders - unsettled_here),
            left_s=first_seen_at_s + wave.duration_s - get_loop_s(),
            unsettled=unsettled_here,
            unconfirmed=(self._upkeep_tracker.list_unconfirmed(members) | open_orders)
            - ordered
            - unsettled_here,
        )

    async def publish_status(
        self, waves: Iterable[UpkeepWave], machines: dict[str, Machine]
    ) -> None:
        """Publish the status of each wave whose status has changed."""
        for wave in waves:
            is_done = not self.get_pending(wave, machines)
            if self._published.get(wave.number) is not is_done:
                await self._status_journal.write(
                    [self._records.make_wave_status(wave.number, is_done)]
                )
                self._published[wave.number] = is_done
                self._events.write("wave_shown", wave=wave.number, is_done=is_done)
