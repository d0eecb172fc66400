"""Keys of the records that hold parts of a job's progress."""

from dataclasses import dataclass
from typing import Final

import msgspec

from robinthread._internal.utils.foreign_input import (
    NUMBER_MAX,
    reads_foreign_input,
    shorten,
)

# The ids of jobs contain no slash, so no job's own record has a key with one.
SEPARATOR: Final = "/"


@dataclass(frozen=True, slots=True, order=True)
class PartKey:
    """Identifies a part of a job's progress: its occurrence and its number there."""

    occurrence: int
    number: int

    def format(self, job_id: str) -> str:
        """Return the key of the part's record."""
        return SEPARATOR.join((job_id, str(self.occurrence), str(self.number)))


def is_part_key(key: str) -> bool:
    """Return whether a record's key is that of a part."""
    return SEPARATOR in key


@reads_foreign_input
def parse_part_key(key: str) -> tuple[str, PartKey]:
    """Return the job's id and the part that a record's key names.

    Raises ``msgspec.ValidationError`` if the key is malformed.
    """
    job_id, *numbers = key.split(SEPARATOR)
    if not job_id or len(numbers) != 2 or not all(map(_is_number, numbers)):
        raise msgspec.ValidationError(f"malformed key {shorten(key)!r} of a part")
    part_key = PartKey(*map(int, numbers))
    if max(part_key.occurrence, part_key.number) > NUMBER_MAX:
        raise msgspec.ValidationError(f"the key {shorten(key)!r} of a part is out of range")
    return job_id, part_key


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()
