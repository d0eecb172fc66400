"""Structured log lines, written to a descriptor without blocking the process."""

import collections
import math
import os
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

import msgspec

from robinthread._internal.telemetry.gathered_lines import GatheredLines
from robinthread._internal.telemetry.levels import LEVELS
from robinthread._internal.telemetry.line_rate_limiter import LineRateLimiter
from robinthread._internal.telemetry.node_metrics import NodeMetrics

# Minimum interval between two "lines_left_out" lines, which report the suppressed ones.
SUPPRESSED_INTERVAL_S: Final = 1.0
# Lines buffered for a slow reader; further lines are dropped and counted.  A line has
# about 200 bytes, so a full buffer has about 400 KB.
BUFFERED_LINES_MAX: Final = 2000
EMPTY: Final[Mapping[str, str]] = {}
STANDARD_OUTPUT: Final = 1
# Longest line whose fields are written as they are.  The longest of a node's own lines list the
# pools of a large site.
LINE_MAX_BYTES: Final = 32 * 1024
FIELD_TEXT_MAX: Final = 300


class EventLog:
    """Writes one JSON line for each event to ``write``, which must not block.

    Lines about failures and changes of state have a ``level``, see ``levels``.

    Every event is counted in ``metrics``.  Lines are limited in rate by event name; at most
    once a second, a "lines_left_out" line reports how many were suppressed.  Gathered events
    share a line a second, which has their count; ``flush_gathered`` must be called
    periodically to write it.
    """

    def __init__(
        self, node: str, write: Callable[[bytes], None], metrics: NodeMetrics | None = None
    ) -> None:
        self._node = node
        self._write = write
        self.metrics = metrics or NodeMetrics()
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._rate_limiter = LineRateLimiter()
        self._gathered = GatheredLines()
        self._suppressed_logged_at_s = 0.0
        self._began_at_s = time.monotonic()

    @property
    def up_s(self) -> float:
        """Return the seconds since this log was created, rounded to milliseconds."""
        return round(time.monotonic() - self._began_at_s, 3)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line unless the rate limit of its event suppresses it; never block."""
        self.metrics.count_event(event, str(fields.get("outcome", "")))
        now_s = time.monotonic()
        if self._rate_limiter.admit(event, now_s):
            self._write_line(event, fields)
        if now_s - self._suppressed_logged_at_s >= SUPPRESSED_INTERVAL_S:
            self._suppressed_logged_at_s = now_s
            if suppressed := self._rate_limiter.take_suppressed():
                self._write_line("lines_left_out", {"counts": suppressed})

    def gather(
        self,
        event: str,
        by: Mapping[str, Any] = EMPTY,
        counted_by: str = "",
        listed: Mapping[str, str] = EMPTY,
        **newest: Any,
    ) -> None:
        """Add an event to a line that is written at most once a second; never block.

        There is one line for each combination of event and ``by``.  It has the ``count`` of its
        events, their ``counts`` by ``counted_by``, the first names that events ``listed`` under
        each field, and all other fields as in the newest event.
        """
        self.metrics.count_event(event, str(by.get("outcome", "")))
        self._gathered.add(event, by, counted_by, listed, newest)
        self.flush_gathered()

    def flush_gathered(self, is_last: bool = False) -> None:
        """Write the gathered lines that are due, or all of them if ``is_last``."""
        for event, fields in self._gathered.take_due(math.inf if is_last else time.monotonic()):
            self._write_line(event, fields)

    def _write_line(self, event: str, fields: dict[str, Any]) -> None:
        line: dict[str, Any] = {"at": round(time.time(), 3), "node": self._node, "event": event}
        if level := LEVELS.get(event):
            line["level"] = level
        self._write(self._encode(line, fields) + b"\n")

    def _encode(self, line: dict[str, Any], fields: dict[str, Any]) -> bytes:
        """Encode a line; fields that another party made too long or odd become short texts.

        Whatever a field holds, a line must not end the task that writes it.
        """
        try:
            encoded = self._encoder.encode(line | fields)
        except Exception:
            encoded = b""
        if 0 < len(encoded) <= LINE_MAX_BYTES:
            return encoded
        texts = {name: _make_text(value) for name, value in fields.items()}
        return self._encoder.encode(line | texts)


def _make_text(value: object) -> str:
    try:
        text = ascii(value)
    except Exception:
        return type(value).__name__
    return text if len(text) <= FIELD_TEXT_MAX else f"{text[:FIELD_TEXT_MAX]}..."


class LineWriter:
    """Writes lines to a non-blocking descriptor as fast as its reader consumes them.

    Lines are buffered in memory while the reader is slow.  Lines that exceed the buffer are
    dropped; a "lines_lost" line with their number precedes the next line that is buffered.
    """

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._unreported_lost_count = 0
        self.lost_count = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Buffer a line, or drop it if the buffer is full, then write without blocking."""
        if len(self._buffer) >= BUFFERED_LINES_MAX:
            self.lost_count += 1
            self._unreported_lost_count += 1
        else:
            if self._unreported_lost_count:
                lost = {"event": "lines_lost", "count": self._unreported_lost_count}
                self._buffer.append(msgspec.json.encode(lost) + b"\n")
                self._unreported_lost_count = 0
            self._buffer.append(line)
        self._flush()

    def _flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end: drop the lines and keep the process running.
                self.lost_count += len(self._buffer)
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()
