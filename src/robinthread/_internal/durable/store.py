"""The platform's store, as the product uses it."""

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
    """A record of a keyed topic; ``value`` is None where its key was dropped."""

    key: str
    value: bytes | None
    offset: int = -1


@dataclass(frozen=True, slots=True)
class WriterStamp:
    """A fenced writer: the store refuses lower epochs than it has seen."""

    name: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class AppendResult:
    """Where an append landed: its first record's offset, the partition's new end."""

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class ReadPage:
    """Records from one offset on; ``next_offset`` is where to read on.

    ``unreadable_count`` records among them are left out: their keys cannot be read.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int
    unreadable_count: int = 0


@dataclass(frozen=True, slots=True)
class NewestPage:
    """Some of the newest records; ``next_key`` is where the next page begins, if any.

    ``next_offset`` is the partition's end when the page was read.  ``unreadable_count``
    records are left out.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    next_key: str = ""
    unreadable_count: int = 0


@dataclass(frozen=True, slots=True)
class NewestRecords:
    """The newest record of each key, and the offset from which to read on.

    ``unreadable_count`` records are left out.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    unreadable_count: int = 0


@dataclass(frozen=True, slots=True)
class Membership:
    """A member's view of its group; ``generation`` rises with every change."""

    generation: int


class Store(Protocol):
    """Calls of the store.  Each raises ``StoreError`` and ends in a bounded time."""

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
        stamp: WriterStamp | None = None,
    ) -> AppendResult:
        """Append all records or none; no records with a stamp sets its epoch."""

    async def read(
        self,
        partition: Partition,
        from_offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> ReadPage:
        """Read from an offset, waiting up to ``wait_s`` for a record.

        ``timeout_s`` is how long the answer may take beside that; None for what calls of
        late took.
        """

    async def read_newest(
        self, partition: Partition, after_key: str, timeout_s: float
    ) -> NewestPage:
        """Read a page of the newest record of each key; an empty key for the first page."""

    async def join(
        self, group: str, member: str, topics: Sequence[str], ttl_ms: int, generation: int
    ) -> Membership:
        """Join a group, or stay in it."""

    async def leave(self, group: str, member: str) -> None:
        """Leave a group."""

    async def list_members(self, group: str) -> frozenset[str]:
        """List the members of a group that have been dealt a partition."""
