"""Interface of the platform's store: keyed topics with fenced and conditional appends."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Partition:
    """One partition of a topic."""

    topic: str
    number: int = 0


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; ``value`` is None if its key was dropped."""

    key: str
    value: bytes | None
    offset: int = -1


@dataclass(frozen=True, slots=True)
class WriterStamp:
    """Identity of a fenced writer; the store rejects epochs lower than the highest it has seen."""

    name: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class AppendResult:
    """Result of an append: the offset of its first record and the partition's new end."""

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class ReadPage:
    """Consecutive records; ``next_offset`` is the offset of the next read.

    ``unreadable_count`` is the number of skipped records whose keys cannot be decoded.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int
    unreadable_count: int = 0


@dataclass(frozen=True, slots=True)
class NewestPage:
    """A page of the newest record of each key.

    The next page begins after ``next_key``, "" if this page is the last.  ``next_offset`` is
    the partition's end when the page was read.  ``unreadable_count`` is the number of skipped
    records that cannot be decoded.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    next_key: str = ""
    unreadable_count: int = 0


@dataclass(frozen=True, slots=True)
class NewestRecords:
    """The newest record of each key, and the offset of the next read.

    ``unreadable_count`` is the number of skipped records that cannot be decoded.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    unreadable_count: int = 0


@dataclass(frozen=True, slots=True)
class Membership:
    """A member's view of its group; ``generation`` increases with every change."""

    generation: int


class Store(Protocol):
    """Calls to the store.  Each raises ``StoreError`` on failure and ends within a bounded time."""

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
        stamp: WriterStamp | None = None,
        timeout_s: float | None = None,
    ) -> AppendResult:
        """Append all records or none.

        ``expected_end`` makes the append conditional on the partition's end.  An append of no
        records with a stamp only sets the writer's epoch.  ``timeout_s`` is the timeout; None
        derives it from the latency of recent calls.
        """

    async def read(
        self,
        partition: Partition,
        from_offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> ReadPage:
        """Read from an offset, waiting up to ``wait_s`` for a record.

        ``timeout_s`` is the timeout in addition to that wait; None derives it from the latency
        of recent calls.
        """

    async def read_newest(
        self, partition: Partition, after_key: str, timeout_s: float
    ) -> NewestPage:
        """Read a page of the newest record of each key; ``after_key`` is "" for the first page."""

    async def join(
        self, group: str, member: str, topics: Sequence[str], ttl_ms: int, generation: int
    ) -> Membership:
        """Join a group, or renew the membership, for ``ttl_ms``."""

    async def leave(self, group: str, member: str) -> None:
        """Leave a group."""

    async def list_members(self, group: str) -> frozenset[str]:
        """List the members of a group that have a partition assigned."""
