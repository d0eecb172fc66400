"""A page of log records."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LogRecord:
    """A record and its offset."""

    offset: int
    data: bytes


@dataclass(frozen=True)
class LogPage:
    """Records in offset order.

    ``first_offset`` is the oldest offset that the stream still holds,
    ``next_offset`` the one that the next append gets.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int
