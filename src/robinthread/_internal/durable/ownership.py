"""Who owns what: one record a pool, each taken under a condition.

The offset of the record that grants a pool is the owner's token.  It rises with
every change, and goes with every order and every record of the owner.
"""

import asyncio
from collections.abc import Collection, Mapping, Sequence
from typing import Final

import msgspec

from robinthread._internal.durable.errors import StoreConditionError, StoreRefusedError
from robinthread._internal.durable.keyed_follower import KeyedFollower
from robinthread._internal.durable.store import KeyedRecord, Partition, Store
from robinthread._internal.telemetry.event_log import EventLog

OWNERS_PARTITION: Final = Partition("keyed.owners")
# How long an owner that was replaced is kept in mind: ten times as long as one that does
# not hear of it may go on.
LOST_KEPT_S: Final = 60.0


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A process that may own pools: its node, its life and where peers reach it.

    ``capacity_millicores`` is how much work it can carry as an owner, see
    ``get_capacity_millicores``.
    """

    node: str
    life: str
    address: str
    capacity_millicores: int = 1000


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who took a pool; ``is_released`` where the owner has given it back.

    One that ``is_stopping`` gave it back because its process ends.
    """

    owner: Member
    is_released: bool = False
    is_stopping: bool = False


class Ownership(msgspec.Struct, frozen=True):
    """A pool's owner and the token that goes with it."""

    owner: Member
    token: int
    is_released: bool
    is_stopping: bool


class LostOwner(msgspec.Struct, frozen=True):
    """An owner that was replaced and had not given its pool back: it may be running still.

    ``lost_at_s`` is when that was seen, by the event loop's clock.
    """

    owner: Member
    token: int
    lost_at_s: float


class OwnerTable:
    """The newest owner of each pool, and the one before it where that was seen.

    ``lost`` are, by pool, those of late that did not give it back, the last one last.
    """

    def __init__(self, store: Store, events: EventLog) -> None:
        self._store = store
        self._events = events
        self.owners: dict[str, Ownership] = {}
        self.previous: dict[str, Ownership] = {}
        self.lost: dict[str, tuple[LostOwner, ...]] = {}
        self.changed = asyncio.Event()
        self.follower = KeyedFollower(store, OWNERS_PARTITION, self._apply, events)

    def get(self, pool: str) -> Ownership | None:
        """Return the owner of a pool, if it has one."""
        found = self.owners.get(pool)
        return None if found is None or found.is_released else found

    async def take(self, pool: str, member: Member) -> bool:
        """Take a pool unless anything has changed; the fold tells the outcome."""
        return await self._put({pool: OwnerRecord(member)})

    async def take_over(self, tokens: Mapping[str, int], member: Member) -> list[str]:
        """Take pools, all at once, that still have these tokens; return which."""
        while held := [pool for pool, token in tokens.items() if self._has_token(pool, token)]:
            if await self._put(dict.fromkeys(held, OwnerRecord(member))):
                return held
        return []

    async def release(self, pools: Collection[str], member: Member, is_stopping: bool) -> None:
        """Give pools back, all at once, but for those that others have taken."""
        record = OwnerRecord(member, True, is_stopping)
        while held := [pool for pool in pools if self._is_held(pool, member)]:
            if await self._put(dict.fromkeys(held, record)):
                return

    def _has_token(self, pool: str, token: int) -> bool:
        current = self.get(pool)
        return current is not None and current.token == token

    def _is_held(self, pool: str, member: Member) -> bool:
        current = self.get(pool)
        return current is not None and current.owner == member

    async def _put(self, records: dict[str, OwnerRecord]) -> bool:
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
            if replaced is not None and replaced.token < token:
                self._note_replaced(record.key, replaced, found.owner)
            self.owners[record.key] = Ownership(
                found.owner, token, found.is_released, found.is_stopping
            )
        self.changed.set()

    def _note_replaced(self, pool: str, replaced: Ownership, author: Member) -> None:
        self.previous[pool] = replaced
        if replaced.is_released or author == replaced.owner:
            return
        now_s = asyncio.get_running_loop().time()
        kept = (lost for lost in self.lost.get(pool, ()) if now_s - lost.lost_at_s < LOST_KEPT_S)
        self.lost[pool] = (*kept, LostOwner(replaced.owner, replaced.token, now_s))
