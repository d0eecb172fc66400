"""Ownership of pools: one record per pool, written by conditional appends.

The owner's fencing token derives from the offset of the record that grants the pool.  It
increases with every change of owner and is part of every order and every record of the owner.
"""

import asyncio
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final

import msgspec

from robinthread._internal.durable.contained_calls import apply_each
from robinthread._internal.durable.errors import StoreConditionError, StoreRefusedError
from robinthread._internal.durable.keyed_follower import KeyedFollower
from robinthread._internal.durable.malformed_records import MalformedRecords
from robinthread._internal.durable.released_leases import ReleasedLeases
from robinthread._internal.durable.store import KeyedRecord, Partition, Store
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.foreign_input import (
    MalformedInputError,
    Number,
    decode_msgpack,
)

OWNERS_PARTITION: Final = Partition("keyed.owners")
# How long an owner that was replaced without releasing its pool is remembered: ten times as long
# as an owner that does not learn of its replacement may continue.
UNRELEASED_RETENTION_S: Final = 60.0
# Token of a record that is not known, as older processes don't tell it.
UNKNOWN_TOKEN: Final = -1
# Most earlier owners listed in a record, one per node.  A change of owner takes about 2 s, so 16
# changes in a row take far longer than an owner that does not learn of them may continue.
EARLIER_OWNERS_MAX: Final = 16


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A process that may own pools: its node, its incarnation and its address for peers.

    ``capacity_millicores`` is how much work it can carry as an owner, see
    ``get_capacity_millicores``.  ``started_at_ms`` is its start time by its wall clock, 0 if
    unknown.  It distinguishes a newer incarnation of a node from an older one that is still
    listed.
    """

    node: str
    incarnation: str
    address: str
    capacity_millicores: Number = 1000
    started_at_ms: Number = 0


class EarlierOwner(msgspec.Struct, frozen=True, array_like=True):
    """An earlier owner of a pool, with its token."""

    owner: Member
    token: Number


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """The stored owner of a pool; ``is_released`` once the owner has released it.

    ``is_stopping`` marks a release because the owner's process stops.  ``earlier`` lists the
    owners that were replaced recently without having released the pool, for nodes that read
    only the newest record.  ``leases`` are those that a release leaves, if its author told them.
    ``replaced_token`` is that of the record before, 0 if there was none.
    """

    owner: Member
    is_released: bool = False
    is_stopping: bool = False
    earlier: tuple[EarlierOwner, ...] = ()
    leases: ReleasedLeases | None = None
    replaced_token: Number = UNKNOWN_TOKEN


class Ownership(msgspec.Struct, frozen=True):
    """A pool's owner, its token, whether it has released the pool, and the leases it then left.

    ``replaced_token`` is that of the record before, 0 if there was none.
    """

    owner: Member
    token: int
    is_released: bool
    is_stopping: bool
    leases: ReleasedLeases | None = None
    replaced_token: int = UNKNOWN_TOKEN


class UnreleasedOwner(msgspec.Struct, frozen=True):
    """An owner that was replaced without having released its pool, and may still be running.

    ``replaced_at_s`` is when this process learned of the replacement, in seconds of the event
    loop's clock; the replacement itself was earlier.
    """

    owner: Member
    token: int
    replaced_at_s: float


class OwnerTable:
    """The newest owner of each pool, and the previous one if this process saw the change.

    ``unreleased`` lists, by pool, the owners replaced recently without a release, newest last.
    """

    def __init__(self, store: Store, events: EventLog) -> None:
        self._store = store
        self._events = events
        self._malformed = MalformedRecords(events, "owners")
        self.owners: dict[str, Ownership] = {}
        self.previous: dict[str, Ownership] = {}
        self.unreleased: dict[str, tuple[UnreleasedOwner, ...]] = {}
        self.changed = asyncio.Event()
        self.follower = KeyedFollower(store, OWNERS_PARTITION, self._apply, events)

    def get(self, pool: str) -> Ownership | None:
        """Return the owner of a pool, or None if it has none or the last one released it."""
        found = self.owners.get(pool)
        return None if found is None or found.is_released else found

    async def acquire(
        self, pool: str, member: Member, reassigned: Mapping[str, Member] | None = None
    ) -> bool:
        """Acquire a pool unless any ownership record has changed; return whether it was appended.

        The table shows the outcome once the record is applied.  ``reassigned`` maps other pools
        to members that get them in the same append.
        """
        record = OwnerRecord(
            member,
            earlier=self._list_earlier(pool, member, self._list_replaced(pool, member)),
            replaced_token=self._get_token(pool),
        )
        records = {
            other: OwnerRecord(
                owner,
                earlier=self._list_earlier(other, None, self._list_replaced(other, owner)),
                replaced_token=self._get_token(other),
            )
            for other, owner in (reassigned or {}).items()
        }
        return await self._append(records | {pool: record})

    async def take_over(self, tokens: Mapping[str, int], member: Member) -> list[str]:
        """Acquire those pools that still have these tokens, in one append; return them.

        The owners with these tokens must have stopped.
        """
        while remaining := [pool for pool, token in tokens.items() if self._has_token(pool, token)]:
            records = {
                pool: OwnerRecord(
                    member,
                    earlier=self._list_earlier(pool, member),
                    replaced_token=self._get_token(pool),
                )
                for pool in remaining
            }
            if await self._append(records):
                self._forget_stopped({pool: tokens[pool] for pool in remaining})
                return remaining
        return []

    async def release(
        self,
        pools: Collection[str],
        member: Member,
        is_stopping: bool,
        leases: Mapping[str, ReleasedLeases | None] | None = None,
    ) -> None:
        """Release those of the pools that ``member`` still owns, in one append.

        ``leases`` are those that the stopped owners leave, by pool.
        """
        known = leases or {}
        while remaining := [pool for pool in pools if self._is_owned_by(pool, member)]:
            records = {
                pool: OwnerRecord(
                    member, True, is_stopping, self._list_earlier(pool, member), known.get(pool)
                )
                for pool in remaining
            }
            if await self._append(records):
                return

    def _list_replaced(self, pool: str, author: Member) -> tuple[EarlierOwner, ...]:
        """Return the pool's current owner, which may still run, if ``author`` replaces it."""
        found = self.get(pool)
        if found is None or found.owner == author:
            return ()
        return (EarlierOwner(found.owner, found.token),)

    def _list_earlier(
        self, pool: str, author: Member | None, replaced: tuple[EarlierOwner, ...] = ()
    ) -> tuple[EarlierOwner, ...]:
        """List the earlier owners to put in a record of ``author``, newest last.

        Only the newest of each node is listed, because a node's previous incarnation ended
        before the next one started.  Owners on the author's node are left out, because whoever
        replaces the author waits for its current incarnation.  ``author`` is None if the record
        gives the pool to another member, whose ended incarnations are unknown here; then no
        node is left out.
        """
        known = (EarlierOwner(entry.owner, entry.token) for entry in self._list_unreleased(pool))
        by_node = {
            earlier.owner.node: earlier
            for earlier in (*known, *replaced)
            if author is None or earlier.owner.node != author.node
        }
        return tuple(
            sorted(by_node.values(), key=lambda earlier: earlier.token)[-EARLIER_OWNERS_MAX:]
        )

    def _list_unreleased(self, pool: str) -> list[UnreleasedOwner]:
        now_s = asyncio.get_running_loop().time()
        return [
            entry
            for entry in self.unreleased.get(pool, ())
            if now_s - entry.replaced_at_s < UNRELEASED_RETENTION_S
        ]

    def _forget_stopped(self, tokens: Mapping[str, int]) -> None:
        """Forget the unreleased owners with these tokens, which have stopped."""
        for pool, token in tokens.items():
            self.unreleased[pool] = tuple(
                entry for entry in self.unreleased.get(pool, ()) if entry.token != token
            )

    def _get_token(self, pool: str) -> int:
        """Return the token of a pool's newest record, 0 if there is none."""
        found = self.owners.get(pool)
        return 0 if found is None else found.token

    def _has_token(self, pool: str, token: int) -> bool:
        current = self.get(pool)
        return current is not None and current.token == token

    def _is_owned_by(self, pool: str, member: Member) -> bool:
        current = self.get(pool)
        return current is not None and current.owner == member

    async def _append(self, records: dict[str, OwnerRecord]) -> bool:
        end = self.follower.next_offset
        if end is None:
            raise StoreRefusedError("the ownership records have not been read yet")
        entries = [
            KeyedRecord(pool, msgspec.msgpack.encode(record)) for pool, record in records.items()
        ]
        try:
            await self._store.append(OWNERS_PARTITION, entries, expected_end=end)
        except StoreConditionError:
            await self.follower.read_to_end()
            return False
        await self.follower.read_to_end()
        return True

    def _apply(self, records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        apply_each(records, self._apply_one, self._events)
        self.changed.set()

    def _apply_one(self, record: KeyedRecord) -> None:
        if record.value is None:
            self.owners.pop(record.key, None)
            return
        try:
            found = decode_msgpack(record.value, OwnerRecord)
        except MalformedInputError as error:
            self._malformed.tell(record, error)
            return
        token = record.offset + 1
        replaced = self.owners.get(record.key)
        if replaced is None or replaced.token < token:
            self._record_unreleased(
                record.key, (*found.earlier, *self._list_replaced(record.key, found.owner))
            )
            if replaced is not None:
                self.previous[record.key] = replaced
        self.owners[record.key] = Ownership(
            found.owner,
            token,
            found.is_released,
            found.is_stopping,
            found.leases,
            found.replaced_token,
        )

    def _record_unreleased(self, pool: str, found: Iterable[EarlierOwner]) -> None:
        """Remember unreleased owners; those already known keep their times."""
        now_s = asyncio.get_running_loop().time()
        by_token = {
            earlier.token: UnreleasedOwner(earlier.owner, earlier.token, now_s) for earlier in found
        } | {entry.token: entry for entry in self._list_unreleased(pool)}
        self.unreleased[pool] = tuple(by_token[token] for token in sorted(by_token))
