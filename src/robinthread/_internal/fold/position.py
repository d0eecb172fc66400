"""Position and author of a record in the log."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Position:
    """Offset of a record, and name and incarnation of the daemon that wrote it."""

    offset: int
    author: str = ""
    incarnation: str = ""
