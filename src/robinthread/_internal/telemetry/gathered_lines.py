"""Aggregation of events into log lines, at most one a second for each event and group."""

import math
from collections import Counter
from collections.abc import Mapping
from typing import Any, Final

# Minimum interval between two lines of the same event and group.
GATHER_INTERVAL_S: Final = 1.0
# Maximum number of names that a line lists under one field: about 150 bytes, besides the 100 to
# 200 bytes of its other fields.
LISTED_NAMES_MAX: Final = 10

Line = tuple[str, dict[str, Any]]


class _Group:
    """Events of one group since its last line."""

    def __init__(self) -> None:
        self.due_at_s = -math.inf
        self.clear()

    def clear(self) -> None:
        """Reset the counts, names and fields."""
        self.count = 0
        self.counts: Counter[str] = Counter()
        self.names: dict[str, dict[str, None]] = {}
        self.newest: Mapping[str, Any] = {}

    def make_fields(self) -> dict[str, Any]:
        """Return the fields of the line, without those that identify the group."""
        counts = {"counts": dict(self.counts)} if self.counts else {}
        names = {field: list(found) for field, found in self.names.items()}
        return {**self.newest, "count": self.count, **counts, **names}


class GatheredLines:
    """Aggregates the events of each group into at most one line a second.

    The first event of a group is due at once; the events of the second after it are due
    together.  Times are in seconds of any monotonic clock.
    """

    def __init__(self) -> None:
        self._groups: dict[tuple[Any, ...], _Group] = {}
        self._next_due_s = math.inf

    def add(
        self,
        event: str,
        by: Mapping[str, Any],
        counted_by: str,
        listed: Mapping[str, str],
        newest: Mapping[str, Any],
    ) -> None:
        """Add an event to its group, see ``EventLog.gather``."""
        key = (event, *by.items())
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group()
        group.count += 1
        group.newest = newest
        if counted_by:
            group.counts[counted_by] += 1
        for field, name in listed.items():
            names = group.names.setdefault(field, {})
            if len(names) < LISTED_NAMES_MAX:
                names[name] = None
        self._next_due_s = min(self._next_due_s, group.due_at_s)

    def take_due(self, now_s: float) -> list[Line]:
        """Return the event name and fields of each line that is due, and reset its group."""
        if now_s < self._next_due_s:
            return []
        lines = []
        self._next_due_s = math.inf
        for (event, *by), group in self._groups.items():
            if not group.count:
                continue
            if now_s < group.due_at_s:
                self._next_due_s = min(self._next_due_s, group.due_at_s)
                continue
            lines.append((event, dict(by) | group.make_fields()))
            group.clear()
            group.due_at_s = now_s + GATHER_INTERVAL_S
        return lines
