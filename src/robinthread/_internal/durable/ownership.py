"""Who owns what: one record a pool, each taken under a condition.

The offset of the record that grants a pool is the owner's token.  It rises with
every change, and goes with every order and every record of the owner.
"""

import asyncio
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final

import msgspec

from robinthread._internal.durable.errors import StoreConditionError, StoreRefusedError
from robinthread._internal.durable.keyed_follower import KeyedFollower
from robinthread._internal.durable.store import KeyedRecord, Partition, Store
from robinthread._internal.telemetry.event_log import EventLog

OWNERS_PARTITION: Final = Partition("keyed.owners")
# How long an owner that was replaced is kept in mind: ten times as long as one that does
# not hear of it may go on.
UNRELEASED_RETENTION_S: Final = 60.0
# How many a record names at most, one a node: a change of owner takes some 2 s, so 16 in
# turn outlast by far what one that does not hear of it may go on.
EARLIER_OWNERS_MAX: Final = 16


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A process that may own pools: its node, its life and where peers reach it.

    ``capacity_millicores`` is how much work it can carry as an owner, see
    ``get_capacity_millicores``.  ``started_at_ms`` is when it began by its clock's time of day,
    which tells a newer life of a node from an older one that is still listed; 0 where it
    does not tell.
    """

    node: str
    incarnation: str
    address: str
    capacity_millicores: int = 1000
    started_at_ms: int = 0


class EarlierOwner(msgspec.Struct, frozen=True, array_like=True):
    """An owner that was replaced, with its token."""

    owner: Member
    token: int


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who took a pool; ``is_released`` where the owner has given it back.

    One that ``is_stopping`` gave it back because its process ends.  ``earlier`` are those
    replaced of late that had not given it back: whoever reads only the newest record must
    know of them too.
    """

    owner: Member
    is_released: bool = False
    is_stopping: bool = False
    earlier: tuple[EarlierOwner, ...] = ()


class Ownership(msgspec.Struct, frozen=True):
    """A pool's owner and the token that goes with it."""

    owner: Member
    token: int
    is_released: bool
    is_stopping: bool


class UnreleasedOwner(msgspec.Struct, frozen=True):
    """An owner that was replaced and had not given its pool back: it may be running still.

    ``replaced_at_s`` is when that was seen or read, by the event loop's clock: it was replaced
    by then.
    """

    owner: Member
    token: int
    replaced_at_s: float


class OwnerTable:
    """The newest owner of each pool, and the one before it where that was seen.

    ``unreleased`` are, by pool, those of late that did not give it back, the last one last.
    """

    def __init__(self, store: Store, events: EventLog) -> None:
        self._store = store
        self._events = events
        self.owners: dict[str, Ownership] = {}
        self.previous: dict[str, Ownership] = {}
        self.unreleased: dict[str, tuple[UnreleasedOwner, ...]] = {}
        self.changed = asyncio.Event()
        self.follower = KeyedFollower(store, OWNERS_PARTITION, self._apply, events)

    def get(self, pool: str) -> Ownership | None:
        """Return the owner of a pool, if it has one."""
        found = self.owners.get(pool)
        return None if found is None or found.is_released else found

    async def acquire(
        self, pool: str, member: Member, reassigned: Mapping[str, Member] | None = None
    ) -> bool:
        """Take a pool unless anything has changed; the fold tells the outcome.

        ``reassigned`` are other pools that go to the members named, in the same append.
        """
        earlier = self._list_earlier(pool, member, self._list_replaced(pool, member))
        records = {
            other: OwnerRecord(
                owner, earlier=self._list_earlier(other, None, self._list_replaced(other, owner))
            )
            for other, owner in (reassigned or {}).items()
        }
        return await self._append(records | {pool: OwnerRecord(member, earlier=earlier)})

    async def take_over(self, tokens: Mapping[str, int], member: Member) -> list[str]:
        """Take pools, all at once, that still have these tokens; return which.

        Their owners under these tokens have stopped.
        """
        while remaining := [pool for pool, token in tokens.items() if self._has_token(pool, token)]:
            records = {
                pool: OwnerRecord(member, earlier=self._list_earlier(pool, member))
                for pool in remaining
            }
            if await self._append(records):
                self._forget_stopped({pool: tokens[pool] for pool in remaining})
                return remaining
        return []

    async def release(self, pools: Collection[str], member: Member, is_stopping: bool) -> None:
        """Give pools back, all at once, but for those that others have taken."""
        while remaining := [pool for pool in pools if self._is_owned_by(pool, member)]:
            records = {
                pool: OwnerRecord(member, True, is_stopping, self._list_earlier(pool, member))
                for pool in remaining
            }
            if await self._append(records):
                return

    def _list_replaced(self, pool: str, author: Member) -> tuple[EarlierOwner, ...]:
        """Return a pool's owner as one that ``author`` replaces and that may be running still."""
        found = self.get(pool)
        if found is None or found.owner == author:
            return ()
        return (EarlierOwner(found.owner, found.token),)

    def _list_earlier(
        self, pool: str, author: Member | None, replaced: tuple[EarlierOwner, ...] = ()
    ) -> tuple[EarlierOwner, ...]:
        """List the earlier owners that a record of ``author`` names, the last one last.

        Of each node the last one: a node's former life ended before the next one began.  Of
        the author's node none: whoever replaces the author waits for this life.  None for an
        author that gives the pool to another member: it does not know what ended there.
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
        """Forget owners that have stopped under these tokens."""
        for pool, token in tokens.items():
            self.unreleased[pool] = tuple(
                entry for entry in self.unreleased.get(pool, ()) if entry.token != token
            )

    def _has_token(self, pool: str, token: int) -> bool:
        current = self.get(pool)
        return current is not None and current.token == token

    def _is_owned_by(self, pool: str, member: Member) -> bool:
        current = self.get(pool)
        return current is not None and current.owner == member

    async def _append(self, records: dict[str, OwnerRecord]) -> bool:
        end = self.follower.next_offset
        if end is None:
            raise StoreRefusedError("the owners have not been read")
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
        for record in records:
            if record.value is None:
                self.owners.pop(record.key, None)
                continue
            try:
                found = msgspec.msgpack.decode(record.value, type=OwnerRecord)
            except msgspec.MsgspecError as error:
                self._events.write("record_malformed", key=record.key, error=str(error))
                continue
            token = record.offset + 1
            replaced = self.owners.get(record.key)
            if replaced is None or replaced.token < token:
                self._record_unreleased(
                    record.key, (*found.earlier, *self._list_replaced(record.key, found.owner))
                )
                if replaced is not None:
                    self.previous[record.key] = replaced
            self.owners[record.key] = Ownership(
                found.owner, token, found.is_released, found.is_stopping
            )
        self.changed.set()

    def _record_unreleased(self, pool: str, found: Iterable[EarlierOwner]) -> None:
        """Keep those in mind, from now on, that are not known yet."""
        now_s = asyncio.get_running_loop().time()
        by_token = {
            earlier.token: UnreleasedOwner(earlier.owner, earlier.token, now_s) for earlier in found
        } | {entry.token: entry for entry in self._list_unreleased(pool)}
        self.unreleased[pool] = tuple(by_token[token] for token in sorted(by_token))
