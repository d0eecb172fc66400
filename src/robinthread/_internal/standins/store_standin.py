"""In-memory stand-in for the platform's store."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from typing import Final, TypeVar

from robinthread._internal.durable.errors import (
    HistoryGoneError,
    StoreConditionError,
    StoreNoAnswerError,
    StoreRefusedError,
    StoreRejectedError,
)
from robinthread._internal.durable.record_limits import find_excess, get_size_bytes
from robinthread._internal.durable.store import (
    AppendResult,
    KeyedRecord,
    Membership,
    NewestPage,
    Partition,
    ReadPage,
    WriterStamp,
)
from robinthread._internal.standins.append_turns import AppendTurns
from robinthread._internal.standins.call_faults import (
    CallFaults,
    CallRefusedError,
    CallUnansweredError,
)
from robinthread._internal.standins.member_group import MemberGroup
from robinthread._internal.standins.node_settings_standin import STORE_LIMITS
from robinthread._internal.standins.store_log import StoreLog, take_within
from robinthread._internal.utils.call_timeout import CallTimeout
from robinthread._internal.utils.waiting import wait_for_event

CALL_TIMEOUT_S: Final = 1.2
LATENCY_S: Final = 0.004
# The read timeout of a client whose earlier calls had fast responses.
READ_TIMEOUT_S: Final = 0.3
# Most bytes of records that a client requests in one read.
READ_MAX_BYTES: Final = 128 * 1024
# Limits of a page of newest records, of the records that the store keeps, and of its topics.
PAGE_RECORDS_MAX: Final = 500
PAGE_MAX_BYTES: Final = 1_000_000
KEPT_MAX_BYTES: Final = 400_000_000
TOPICS_MAX: Final = 100

T = TypeVar("T")


class StoreStandin:
    """Partitions and groups, with faults and with history that can be expired.

    Reads of ``unreadable_topics`` time out, but writes to them work; those in ``unreadable_by``
    time out for one caller and topic.  ``link_bytes_per_s`` limits by caller the throughput of
    the records that it reads.  Members in ``unlisted`` are left out of the lists of members, as
    if they held no partition.  ``reads`` counts reads by caller and topic or group.  With
    ``adapts_timeouts``, calls time out as those of ``PlatformStore`` do.  ``append_keys`` are
    the keys of all records sent, stored or not, and ``appended_bytes`` the size of all appends
    by topic.
    """

    def __init__(self, seed: int = 1) -> None:
        self.faults = CallFaults(seed, LATENCY_S)
        self._logs: dict[Partition, StoreLog] = defaultdict(StoreLog)
        self._groups: dict[str, MemberGroup] = defaultdict(MemberGroup)
        self.link_bytes_per_s: dict[str, float] = {}
        self.unlisted: set[str] = set()
        self.unreadable_topics: set[str] = set()
        self.unreadable_by: set[tuple[str, str]] = set()
        self.reads: Counter[tuple[str, str]] = Counter()
        self.append_turns = AppendTurns()
        self.adapts_timeouts = False
        self.append_keys: set[str] = set()
        self.limits = STORE_LIMITS.record_limits
        self.kept_max_bytes = KEPT_MAX_BYTES
        self.appended_bytes: Counter[str] = Counter()

    def connect(self, caller: str) -> "StoreClient":
        """Return a client that calls the store as ``caller``."""
        return StoreClient(self, caller)

    def put(self, partition: Partition, key: str, value: bytes | None) -> None:
        """Write a record as the operators or the hosts do; None removes the key."""
        self._logs[partition].append([KeyedRecord(key, value)])

    def get_newest(self, partition: Partition) -> dict[str, bytes]:
        """Return the newest value of each key."""
        newest = self._logs[partition].newest.values()
        return {record.key: record.value or b"" for record in newest}

    def list_keys(self, topic: str) -> list[str]:
        """List the keys of all partitions of a topic."""
        return [
            key
            for partition, log in self._logs.items()
            if partition.topic == topic
            for key in log.newest
        ]

    def expire_history(self) -> None:
        """Delete all records except the newest of each key."""
        for log in self._logs.values():
            log.expire()

    def get_log(self, partition: Partition) -> StoreLog:
        """Return the log of a partition."""
        return self._logs[partition]

    def check_append(self, partition: Partition, records: Sequence[KeyedRecord]) -> None:
        """Raise the store's error for an append over one of its limits."""
        excesses = (find_excess(record, self.limits) for record in records)
        if excess := next(filter(None, excesses), ""):
            raise StoreRejectedError(excess)
        if sum(map(get_size_bytes, records)) > self.limits.call_max_bytes:
            raise StoreRejectedError("the call is over the limit")
        if len({known.topic for known in self._logs}) > TOPICS_MAX:
            raise StoreRejectedError(f"topic {partition.topic} is one too many")
        if records and self.get_kept_bytes() > self.kept_max_bytes:
            raise StoreRefusedError("the store keeps as much as it can")

    def get_kept_bytes(self) -> int:
        """Return the size of all records that the store keeps."""
        return sum(log.kept_bytes for log in self._logs.values())

    def get_group(self, name: str) -> MemberGroup:
        """Return a group after the removal of its expired members."""
        group = self._groups[name]
        group.remove_expired()
        return group


class StoreClient:
    """One caller's client of the store; implements ``Store``."""

    def __init__(self, standin: StoreStandin, caller: str) -> None:
        self._standin = standin
        self._caller = caller
        self._timeout = CallTimeout(READ_TIMEOUT_S, CALL_TIMEOUT_S)

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
        stamp: WriterStamp | None = None,
        timeout_s: float | None = None,
    ) -> AppendResult:
        """Append all records or none; see ``Store``."""
        log = self._standin.get_log(partition)
        batch = list(records)

        def work() -> AppendResult:
            self._standin.check_append(partition, batch)
            if expected_end is not None and log.end != expected_end:
                raise StoreConditionError(log.end)
            self._standin.appended_bytes[partition.topic] += sum(map(get_size_bytes, batch))
            return log.append(batch) if stamp is None else log.append_stamped(batch, stamp)

        self._standin.append_keys.update(record.key for record in batch)
        faults = self._standin.faults
        if not faults.reaches(self._caller):
            return await self._call(work)
        if timeout_s is None:
            timeout_s = self._get_timeout_s()
        latency_s = faults.latency_s if self._standin.adapts_timeouts else 0.0
        try:
            await self._standin.append_turns.wait(partition, work, timeout_s, latency_s)
        except StoreNoAnswerError:
            self._timeout.record_loss()
            raise
        return await self._call(work, timeout_s=timeout_s)

    async def read(
        self,
        partition: Partition,
        from_offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> ReadPage:
        """Read from an offset, waiting up to ``wait_s`` for a record."""
        page = await self._read(partition, from_offset, wait_s)
        await self._wait_for_link(page.records, timeout_s or READ_TIMEOUT_S)
        return page

    async def _read(self, partition: Partition, from_offset: int, wait_s: float) -> ReadPage:
        await self._count_read(partition)
        log = self._standin.get_log(partition)

        def work() -> ReadPage:
            if from_offset < log.first:
                raise HistoryGoneError(log.first)
            records = take_within(log.records[from_offset - log.first :], READ_MAX_BYTES)
            return ReadPage(records, from_offset + len(records), log.end)

        connections = self._standin.faults.connections
        silences_before = connections.silences
        page = await self._call(work, is_change=False)
        if page.records or wait_s <= 0:
            return page
        is_grown = await wait_for_event(log.grown, wait_s)
        if connections.silences > silences_before:
            await asyncio.sleep(CALL_TIMEOUT_S)
            connections.replace_silent(self._caller, "")
            raise StoreNoAnswerError(f"connection of {self._caller} is silent")
        return await self._call(work, is_change=False) if is_grown else page

    async def read_newest(
        self, partition: Partition, after_key: str, timeout_s: float
    ) -> NewestPage:
        """Read a page of the newest records of the keys that follow ``after_key``."""
        await self._count_read(partition)
        log = self._standin.get_log(partition)

        def work() -> NewestPage:
            # The page has the end of the partition at the time of this read.
            keys = sorted(key for key in log.newest if key > after_key)
            found = (log.newest[key] for key in keys[:PAGE_RECORDS_MAX])
            page = take_within(found, PAGE_MAX_BYTES)
            return NewestPage(page, log.end, page[-1].key if len(keys) > len(page) else "")

        found = await self._call(work, is_change=False)
        await self._wait_for_link(found.records, timeout_s)
        return found

    async def _count_read(self, partition: Partition) -> None:
        """Count a read; time out if the partition's topic is unreadable."""
        read = self._caller, partition.topic
        self._standin.reads[read] += 1
        if (
            partition.topic in self._standin.unreadable_topics
            or read in self._standin.unreadable_by
        ):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreNoAnswerError(f"topic {partition.topic} is unreadable")

    async def _wait_for_link(self, records: Sequence[KeyedRecord], timeout_s: float) -> None:
        """Wait for the transfer of a response over the caller's link."""
        link_bytes_per_s = self._standin.link_bytes_per_s.get(self._caller)
        if link_bytes_per_s is None:
            return
        takes_s = sum(len(record.value or b"") for record in records) / link_bytes_per_s
        await asyncio.sleep(min(takes_s, timeout_s))
        if takes_s > timeout_s:
            raise StoreNoAnswerError(f"response not transferred within {timeout_s} s")

    async def join(
        self, group: str, member: str, topics: Sequence[str], ttl_ms: int, generation: int
    ) -> Membership:
        """Join a group, or renew the membership."""

        def work() -> Membership:
            found = self._standin.get_group(group)
            found.join(member, tuple(topics), ttl_ms / 1000)
            return Membership(found.generation)

        return await self._call(work)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group."""

        def work() -> None:
            self._standin.get_group(group).leave(member)

        await self._call(work)

    async def list_members(self, group: str) -> frozenset[str]:
        """Return the members of a group that hold a partition."""
        self._standin.reads[self._caller, group] += 1

        def work() -> frozenset[str]:
            return self._standin.get_group(group).list_holders() - self._standin.unlisted

        return await self._call(work, is_change=False)

    def _get_timeout_s(self) -> float:
        return self._timeout.seconds if self._standin.adapts_timeouts else CALL_TIMEOUT_S

    async def _call(
        self, work: Callable[[], T], is_change: bool = True, timeout_s: float | None = None
    ) -> T:
        timeout_s = timeout_s or self._get_timeout_s()
        sent_at_s = asyncio.get_running_loop().time()
        try:
            result = await self._standin.faults.carry_out(self._caller, work, timeout_s, is_change)
        except CallRefusedError as error:
            raise StoreRefusedError(f"call of {self._caller} was refused") from error
        except CallUnansweredError as error:
            self._timeout.record_loss()
            raise StoreNoAnswerError(f"no response within {timeout_s:.3f} s") from error
        self._timeout.record_response(asyncio.get_running_loop().time() - sent_at_s)
        return result
