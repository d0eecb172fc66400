"""The operators' requests to evacuate data halls that this process has read."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

import msgspec

from robinthread._internal.durable.contained_calls import apply_each, call_each
from robinthread._internal.durable.malformed_records import MalformedRecords
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.node.environment import PlatformRecords
from robinthread._internal.telemetry.event_log import EventLog


@dataclass(frozen=True, slots=True)
class _HallState:
    """The last record that was read about a hall: a request, or its withdrawal."""

    offset: int
    is_requested: bool


class EvacuationHolder:
    """Holds the halls that operators have asked to evacuate.

    Hosts of these halls get no new work.  A record counts only if its offset is higher than that of
    the last one that was applied for its hall, so the order of arrival does not matter.
    ``read_at_s`` is when this process first read each request in force, by the event loop's clock.
    ``known_halls`` are those of the settings; a request for another hall is kept as well, because
    its hosts may be listed later.
    """

    def __init__(
        self, records: PlatformRecords, events: EventLog, known_halls: Collection[str] = ()
    ) -> None:
        self._records = records
        self._events = events
        self._malformed = MalformedRecords(events, "evacuations")
        self._known_halls = frozenset(known_halls)
        self._states: dict[str, _HallState] = {}
        self._listeners: list[Callable[[], None]] = []
        self.halls: frozenset[str] = frozenset()
        self.read_at_s: dict[str, float] = {}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of ``halls``."""
        self._listeners.append(listener)

    def unsubscribe(self, listener: Callable[[], None]) -> None:
        """Stop calling ``listener``."""
        self._listeners.remove(listener)

    def apply(self, records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        """Apply records of the operators; a hall that a snapshot lacks is no longer evacuated.

        The pages of a snapshot are not of one moment.  That does no harm, since the follower
        continues at the end that the first page reported, and reads what changed meanwhile again.
        """
        prefix = self._records.evacuation_prefix
        listed = {record.key.removeprefix(prefix) for record in records if _has(record, prefix)}
        if is_snapshot:
            for hall in self.halls - listed:
                # The withdrawal's own offset is unknown.  That of another record of the snapshot
                # may exceed the offset of a request that the follower has yet to read.
                self._set(hall, self._states[hall].offset + 1, False)
        apply_each(
            (record for record in records if _has(record, prefix)),
            lambda record: self._apply_one(record.key.removeprefix(prefix), record),
            self._events,
        )
        self._notify()

    def _apply_one(self, hall: str, record: KeyedRecord) -> None:
        """Apply a request or, if the record has no value, a withdrawal."""
        if record.value is not None:
            try:
                self._records.parse_evacuation(record.value)
            except msgspec.MsgspecError as error:
                self._malformed.tell(record, error)
                return
        state = self._states.get(hall)
        if state is None or record.offset > state.offset:
            self._set(hall, record.offset, record.value is not None)

    def _set(self, hall: str, offset: int, is_requested: bool) -> None:
        before = self._states.get(hall)
        self._states[hall] = _HallState(offset, is_requested)
        if is_requested != (before is not None and before.is_requested):
            self._events.write(
                "evacuation_requested" if is_requested else "evacuation_withdrawn",
                hall=hall,
                offset=offset,
                is_known=hall in self._known_halls,
            )

    def _notify(self) -> None:
        halls = frozenset(hall for hall, state in self._states.items() if state.is_requested)
        if halls == self.halls:
            return
        now_s = asyncio.get_running_loop().time()
        self.read_at_s = {hall: self.read_at_s.get(hall, now_s) for hall in halls}
        self.halls = halls
        call_each(self._listeners, self._events)


def _has(record: KeyedRecord, prefix: str) -> bool:
    return record.key.startswith(prefix) and len(record.key) > len(prefix)
