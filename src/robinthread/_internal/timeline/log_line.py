"""Parsing of the structured log lines of nodes."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

from robinthread._internal.utils.foreign_input import NUMBER_MAX, MalformedInputError, decode_json

# Keys of every line, in addition to the fields of its event.
ENVELOPE: Final = frozenset({"at", "node", "event", "level"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line: Unix time in seconds, the node that wrote it, its event and fields."""

    at_s: float
    node: str
    event: str
    fields: dict[str, Any]

    @property
    def job(self) -> str:
        """Return the id of the job that the line names, or "" if it names none."""
        return str(self.fields.get("job", ""))

    def has_value(self, field: str, value: str) -> bool:
        """Return whether a field has ``value``, alone or in a collection.

        A line that stands for several events lists their values under the plural of the
        field; pools also stand in ``to_pool`` and as the keys of ``counts``.
        """
        if str(self.fields.get(field)) == value or self._collects(f"{field}s", value):
            return True
        is_of_pool = self.fields.get("to_pool") == value or self._collects("counts", value)
        return field == "pool" and is_of_pool

    def _collects(self, field: str, value: str) -> bool:
        found = self.fields.get(field)
        return isinstance(found, list | dict) and value in found


def iter_log_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse the structured lines among ``lines``, and skip all others.

    Log collectors prefix lines with names and times of their own, so the text before the
    first brace is ignored.  Lines without an event and a time are skipped.
    """
    for text in lines:
        brace = text.find("{")
        if brace < 0:
            continue
        try:
            values = decode_json(text[brace:], dict[str, Any])
        except MalformedInputError:
            continue
        event, at_s = values.get("event"), values.get("at", math.nan)
        is_time = isinstance(at_s, int | float) and not abs(at_s) > NUMBER_MAX
        if isinstance(event, str) and is_time:
            fields = {key: value for key, value in values.items() if key not in ENVELOPE}
            yield LogLine(float(at_s), str(values.get("node", "")), event, fields)
