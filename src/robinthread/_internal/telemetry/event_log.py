"""Structured log lines on a descriptor that may never delay the process."""

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

# How often a line tells how many others were left out.
SUPPRESSED_INTERVAL_S: Final = 1.0
# Lines kept for a reader that is slow; more are lost and counted.  A line has
# some 200 bytes, so this is about 400 KB.
BUFFERED_LINES_MAX: Final = 2000
EMPTY: Final[Mapping[str, str]] = {}
STANDARD_OUTPUT: Final = 1


class EventLog:
    """Writes one JSON line for each event to ``write``, which must not wait.

    A line that tells a failure or a change has a ``level``, see ``levels``.

    Every event is counted.  Of one kind only so many lines a second are written;
    a line each second tells how many were left out.  Of gathered ones a line a second
    tells how many there were; ``flush_gathered`` must be called now and then for these.
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
        """Return for how long the process has been logging, to the millisecond."""
        return round(time.monotonic() - self._began_at_s, 3)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line if its kind's budget allows; never wait."""
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
        """Have an event told with others, in one line a second at most; never wait.

        There is a line for each value of ``by``.  It has the ``count`` of its events, their
        ``counts`` by ``counted_by``, the first names of those ``listed`` under a field, and
        all other fields as the newest event has them.
        """
        self.metrics.count_event(event, str(by.get("outcome", "")))
        self._gathered.add(event, by, counted_by, listed, newest)
        self.flush_gathered()

    def flush_gathered(self, is_last: bool = False) -> None:
        """Write the gathered lines that are due, or all of them."""
        for event, fields in self._gathered.take_due(math.inf if is_last else time.monotonic()):
            self._write_line(event, fields)

    def _write_line(self, event: str, fields: dict[str, Any]) -> None:
        line: dict[str, Any] = {"at": round(time.time(), 3), "node": self._node, "event": event}
        if level := LEVELS.get(event):
            line["level"] = level
        line |= fields
        self._write(self._encoder.encode(line) + b"\n")


class LineWriter:
    """Writes lines to a descriptor as fast as its reader takes them.

    Lines wait in memory while the reader is slow.  What does not fit is lost,
    and the next line that is kept comes after one that says how many were.
    """

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._unreported_lost_count = 0
        self.lost_count = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or lose it; never wait."""
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
        """Write what the reader takes now."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: nobody can be told, and work goes on.
                self.lost_count += len(self._buffer)
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()
