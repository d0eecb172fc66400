"""Log records and the pages in which they are read."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LogRecord:
    """The bytes of a log record and its offset in the stream."""

    offset: int
    data: bytes


@dataclass(frozen=True)
class LogPage:
    """Consecutive records of a stream, in offset order.

    ``first_offset`` is the offset of the oldest record that the stream still holds,
    ``next_offset`` the one that the next append will get.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int
