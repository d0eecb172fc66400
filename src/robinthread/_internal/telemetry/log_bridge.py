"""Messages of libraries as structured log lines."""

import logging

from robinthread._internal.telemetry.event_log import EventLog


class EventLogHandler(logging.Handler):
    """Writes each message of the standard logging module as an event."""

    def __init__(self, events: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._events = events

    def emit(self, record: logging.LogRecord) -> None:
        """Write one message, with the type and text of its exception."""
        error = record.exc_info[1] if record.exc_info else None
        self._events.write(
            "library_message",
            logger=record.name,
            level=record.levelname.lower(),
            message=record.getMessage(),
            error=repr(error) if error else "",
        )


def bridge_libraries(events: EventLog) -> None:
    """Have all libraries' messages written as events, and nowhere else."""
    logging.basicConfig(handlers=[EventLogHandler(events)], level=logging.WARNING, force=True)
