"""All job hosts that the store lists."""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from robinthread._internal.durable.contained_calls import apply_each, call_each
from robinthread._internal.durable.malformed_records import MalformedRecords
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.jobs.cold_state import get_cold_until_s
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.telemetry.event_log import EventLog

# Entries that lapsed during a store outage reappear about 2 s after the store's return.  A host
# whose entry is missing for longer is removed.
MISSING_GRACE_S: Final = 2.2

ParseHost = Callable[[str, bytes], UpstreamHost]


class HostDirectory:
    """Hosts by id; a host whose entry disappears is retained for ``MISSING_GRACE_S``.

    ``cold_until_s`` is until when each host is cold, by the event loop's clock.  It is kept here
    because the owners of pools do not see whether an entry has changed.  ``get_unread_s`` returns
    the seconds since the last read that is already applied, so a newly read entry is no older.
    """

    def __init__(
        self,
        parse_host: ParseHost,
        events: EventLog,
        get_unread_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._parse_host = parse_host
        self._events = events
        self._get_unread_s = get_unread_s
        self._malformed = MalformedRecords(events, "hosts")
        self._pending_removals: dict[str, asyncio.TimerHandle] = {}
        self._listeners: list[Callable[[], None]] = []
        self.hosts: dict[str, UpstreamHost] = {}
        self.cold_until_s: dict[str, float] = {}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def unsubscribe(self, listener: Callable[[], None]) -> None:
        """Stop calling ``listener``."""
        self._listeners.remove(listener)

    def apply(self, records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        """Apply records of host entries; a snapshot replaces all earlier entries."""

        def apply(record: KeyedRecord) -> None:
            before = self.hosts.get(record.key)
            self._apply_one(record, is_snapshot)
            self._log_change(record, before)

        # Like a malformed entry, one that cannot be applied describes no usable host.
        apply_each(records, apply, self._events, self._withdraw)
        if is_snapshot:
            listed = {record.key for record in records}
            for host_id in [host_id for host_id in self.hosts if host_id not in listed]:
                self._schedule_removal(host_id)
        call_each(self._listeners, self._events)

    def _apply_one(self, record: KeyedRecord, is_snapshot: bool) -> None:
        if record.value is None:
            self._schedule_removal(record.key)
            return
        try:
            host = self._parse_host(record.key, record.value)
        except msgspec.MsgspecError as error:
            self._malformed.tell(record, error)
            self._withdraw(record.key)
            return
        timer = self._pending_removals.pop(host.id, None)
        if timer is not None:
            timer.cancel()
        self._record_cold(host, is_snapshot)
        self.hosts[host.id] = host

    def _log_change(self, record: KeyedRecord, before: UpstreamHost | None) -> None:
        """Log that a host is newly listed, or newly draining."""
        host = self.hosts.get(record.key)
        if host is None or host is before:
            return
        if before is None:
            self._events.gather("host_listed", counted_by=host.pool, listed={"hosts": host.id})
        if host.is_draining and not (before is not None and before.is_draining):
            unread_s = self._get_unread_s()
            self._events.gather(
                "host_draining",
                counted_by=host.pool,
                listed={"hosts": host.id},
                offset=record.offset,
                leaves_in_ms=host.leaves_in_ms,
                unread_for_s=round(unread_s, 3) if math.isfinite(unread_s) else None,
            )

    def _withdraw(self, host_id: str) -> None:
        """Give a host whose newest entry cannot be used no more work, and remove it.

        The entry may say that the host drains.
        """
        if host_id in self.hosts:
            self.hosts[host_id] = dataclasses.replace(self.hosts[host_id], is_draining=True)
        self._schedule_removal(host_id)

    def _record_cold(self, host: UpstreamHost, is_snapshot: bool) -> None:
        previous_until_s = self.cold_until_s.get(host.id, -math.inf)
        now_s = asyncio.get_running_loop().time()
        self.cold_until_s[host.id] = get_cold_until_s(
            host, self.hosts.get(host.id), previous_until_s, now_s, is_snapshot
        )

    def _schedule_removal(self, host_id: str) -> None:
        if host_id in self.hosts and host_id not in self._pending_removals:
            loop = asyncio.get_running_loop()
            self._pending_removals[host_id] = loop.call_later(
                MISSING_GRACE_S, self._remove, host_id
            )

    def _remove(self, host_id: str) -> None:
        self._pending_removals.pop(host_id, None)
        host = self.hosts.pop(host_id, None)
        self.cold_until_s.pop(host_id, None)
        if host is not None:
            self._events.gather("host_gone", counted_by=host.pool, listed={"hosts": host_id})
        call_each(self._listeners, self._events)
