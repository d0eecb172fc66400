"""Position of a record in the log."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Position:
    """Offset of a record and the daemon that wrote it."""

    offset: int
    author: str = ""
    incarnation: str = ""
