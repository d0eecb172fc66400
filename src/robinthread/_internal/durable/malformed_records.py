"""Tells of malformed records once, however often they are read."""

import hashlib
from typing import Final

from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.foreign_input import get_cause_name, shorten

# Keys whose last malformed value is remembered; the oldest are forgotten first.
KEYS_MAX: Final = 1_000
DIGEST_BYTES: Final = 8


class MalformedRecords:
    """Logs ``record_malformed`` once for each key and value of one source of records.

    The metrics count each malformed record as ``input_malformed`` with the source as outcome, also
    where it is read again.
    """

    def __init__(self, events: EventLog, source: str) -> None:
        self._events = events
        self._source = source
        self._told: dict[str, bytes] = {}

    def tell(self, record: KeyedRecord, error: Exception) -> None:
        """Count a malformed record, and log it unless its key had the same value before."""
        self._events.metrics.count_event("input_malformed", self._source)
        digest = hashlib.blake2b(record.value or b"", digest_size=DIGEST_BYTES).digest()
        if self._told.pop(record.key, None) != digest:
            self._events.write(
                "record_malformed",
                source=self._source,
                key=shorten(record.key),
                offset=record.offset,
                byte_count=len(record.value or b""),
                error_type=get_cause_name(error),
                error=shorten(str(error)),
            )
        self._told[record.key] = digest
        if len(self._told) > KEYS_MAX:
            del self._told[next(iter(self._told))]
