"""Calls for each record and each subscriber, of which one that raises harms itself alone."""

from collections.abc import Callable, Iterable
from typing import Any

from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.error_text import describe_error


def apply_each(
    records: Iterable[KeyedRecord],
    apply: Callable[[KeyedRecord], None],
    events: EventLog,
    discard: Callable[[str], None] = lambda key: None,
) -> None:
    """Call ``apply`` with each record, and ``discard`` with the key of each that could not be."""
    for record in records:
        try:
            apply(record)
        except Exception as error:
            events.gather(
                "record_failed",
                listed={"keys": record.key},
                offset=record.offset,
                **describe_error(error),
            )
            discard(record.key)


def call_each(subscribers: Iterable[Callable[..., None]], events: EventLog, *args: Any) -> None:
    """Call each subscriber; log the error of one that raises."""
    for subscriber in list(subscribers):
        try:
            subscriber(*args)
        except Exception as error:
            name = getattr(subscriber, "__qualname__", type(subscriber).__name__)
            events.gather("subscriber_failed", by={"subscriber": name}, **describe_error(error))
