"""Events of one kind told together, in one line a second at most."""

import math
from collections import Counter
from collections.abc import Mapping
from typing import Any, Final

# Least time between two lines of one kind and group.
GATHER_INTERVAL_S: Final = 1.0
# Names that a line tells of those that it counts: some 150 bytes beside 100 to 200.
LISTED_NAMES_MAX: Final = 10

Line = tuple[str, dict[str, Any]]


class _Group:
    """What was gathered since the last line of one kind and group."""

    def __init__(self) -> None:
        self.due_at_s = -math.inf
        self.clear()

    def clear(self) -> None:
        """Begin anew."""
        self.count = 0
        self.counts: Counter[str] = Counter()
        self.names: dict[str, dict[str, None]] = {}
        self.newest: Mapping[str, Any] = {}

    def make_fields(self) -> dict[str, Any]:
        """Return what the line tells beside its group."""
        counts = {"counts": dict(self.counts)} if self.counts else {}
        names = {field: list(found) for field, found in self.names.items()}
        return {**self.newest, "count": self.count, **counts, **names}


class GatheredLines:
    """Makes one line a second at most of the events of one kind and group.

    The first event of a group is due at once, those of the second after it together.
    Times are of any one steady clock, in seconds.
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
        """Gather an event, see ``EventLog.gather``."""
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
        """Return the events and fields of the lines to write now."""
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
