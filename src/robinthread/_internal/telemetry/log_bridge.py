"""Messages of the standard ``logging`` module as structured log lines."""

import logging

from robinthread._internal.telemetry.event_log import EventLog


class EventLogHandler(logging.Handler):
    """Writes each message of level WARNING or above as an event."""

    def __init__(self, events: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._events = events

    def emit(self, record: logging.LogRecord) -> None:
        """Write a message, with the type and text of its exception if it has one."""
        error = record.exc_info[1] if record.exc_info else None
        self._events.write(
            "library_message",
            logger=record.name,
            level=record.levelname.lower(),
            message=record.getMessage(),
            error=repr(error) if error else "",
        )


def bridge_libraries(events: EventLog) -> None:
    """Write the messages of all libraries as events, and remove all other log handlers."""
    logging.basicConfig(handlers=[EventLogHandler(events)], level=logging.WARNING, force=True)
