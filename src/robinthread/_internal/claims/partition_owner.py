"""Ownership of one partition of claims, and the granting of its claims."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec

from robinthread._internal.claims.append_pacer import AppendPacer
from robinthread._internal.claims.claim import Claim
from robinthread._internal.claims.records import (
    ClaimBatch,
    PartitionRecord,
    PartitionTaken,
    decode_partition_record,
    encode_partition_record,
)
from robinthread._internal.claims.table import ClaimTable
from robinthread._internal.peers.messages import ClaimReply
from robinthread._internal.platform_log.errors import LogReplyLostError, LogUnavailableError
from robinthread._internal.platform_log.service import LogService
from robinthread._internal.results import ResultCode
from robinthread._internal.telemetry.counters import Counters

PAGE_RECORDS: Final = 1024
APPEND_TRIES: Final = 3
BATCH_CLAIMS_MAX: Final = 512
LOG_RETRY_DELAY_S: Final = 0.5


class _OwnershipLostError(Exception):
    """Another daemon acquired the partition."""


@dataclass(frozen=True)
class _QueuedClaim:
    claim: Claim
    future: asyncio.Future[ClaimReply]


class PartitionOwner:
    """Grant claims of a partition, each durable in the log before it is granted.

    Ownership depends on the order of the stream alone, never on time: a batch is
    valid only if no other daemon acquired the partition before it.  An append at
    the next expected offset confirms this at once; otherwise the owner reads the
    records in between.  Claims that arrive while an append is in flight or paced
    are committed together by the next append.
    """

    def __init__(
        self,
        partition: int,
        log: LogService,
        owner: str,
        incarnation: str,
        make_id: Callable[[], str],
        wall_clock: Callable[[], float],
        pacer: AppendPacer,
        clock_skew_s: float,
        claims_max: int,
        counters: Counters,
    ) -> None:
        self.partition = partition
        self.stream = f"claims-{partition}"
        self.table = ClaimTable()
        self._log = log
        self._owner = owner
        self._incarnation = incarnation
        self._make_id = make_id
        self._wall_clock = wall_clock
        self._pacer = pacer
        self._clock_skew_s = clock_skew_s
        self._claims_max = claims_max
        self._counters = counters
        self._ownership_id = ""
        self._queue: dict[bytes, _QueuedClaim] = {}
        self._wake = asyncio.Event()
        self._log_unavailable_until_s = -1e9

    @property
    def is_owner(self) -> bool:
        """Return whether this daemon is the owner, as far as it has read the stream."""
        return bool(self._ownership_id) and self.table.owner_id == self._ownership_id

    async def claim(self, claim: Claim) -> ClaimReply:
        """Claim a key; if it is claimed already, the reply names its holder."""
        refusal = self._reply_from_table(claim)
        if refusal is not None:
            return refusal
        queued = self._queue.get(claim.key)
        if queued is not None:
            return await self._join_queued(queued, claim)
        future: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._queue[claim.key] = _QueuedClaim(claim, future)
        self._wake.set()
        return await asyncio.shield(future)

    def release(self, key: bytes, holder: str, incarnation: str, claim_id: int) -> None:
        """Drop a claim whose request did not run, if it is still the one held."""
        if self.table.release(key, holder, incarnation, claim_id):
            self._counters.add("claims_released")

    async def run(self) -> None:
        """Acquire the partition, then commit claims until ownership is lost."""
        try:
            await self._acquire()
            while True:
                await self._wake.wait()
                self._wake.clear()
                if self._queue:
                    await self._pacer.wait_turn()
                    await self._commit()
                if self._queue:
                    self._wake.set()
        except _OwnershipLostError:
            self._counters.add("partitions_lost")
        finally:
            self._refuse_queued(ResultCode.CLAIM_OWNER_UNREACHABLE)

    def _reply_from_table(self, claim: Claim) -> ClaimReply | None:
        now_s = self._wall_clock()
        self.table.drop_expired(now_s)
        held = self.table.get(claim.key)
        if held is not None:
            return _reply_for_held(held, claim)
        if not self.is_owner:
            return make_claim_refusal(ResultCode.CLAIM_OWNER_UNREACHABLE)
        if claim.expires_at_s - self._clock_skew_s <= now_s:
            return make_claim_refusal(ResultCode.CLAIM_EXPIRED)
        if asyncio.get_running_loop().time() < self._log_unavailable_until_s:
            return make_claim_refusal(ResultCode.PLATFORM_OUT)
        if len(self.table) + len(self._queue) >= self._claims_max:
            return make_claim_refusal(ResultCode.CLAIMS_FULL)
        return None

    async def _join_queued(self, queued: _QueuedClaim, claim: Claim) -> ClaimReply:
        reply = await asyncio.shield(queued.future)
        if reply.code != ResultCode.OK:
            return reply
        return _reply_for_held(queued.claim, claim)

    async def _acquire(self) -> None:
        await self._read_to_end()
        self._ownership_id = self._make_id()
        taken = PartitionTaken(self._ownership_id, self._owner, self._incarnation)
        while self.table.owner_id != self._ownership_id:
            try:
                await self._log.append(self.stream, encode_partition_record(taken))
                self._counters.add("claim_appends")
            except (LogReplyLostError, LogUnavailableError):
                await asyncio.sleep(LOG_RETRY_DELAY_S)
            await self._read_to_end()
        self._counters.add("partitions_taken")

    async def _commit(self) -> None:
        keys = tuple(self._queue)[:BATCH_CLAIMS_MAX]
        waiting = tuple(self._queue[key] for key in keys)
        batch = ClaimBatch(
            self._make_id(), self.table.epoch, tuple(entry.claim for entry in waiting)
        )
        code = await self._append(batch)
        for key, entry in zip(keys, waiting, strict=True):
            del self._queue[key]
            reply = (
                ClaimReply(code, entry.claim.holder, entry.claim.incarnation)
                if code is ResultCode.OK
                else make_claim_refusal(code)
            )
            if not entry.future.done():
                entry.future.set_result(reply)
        if code is ResultCode.OK:
            self._counters.add("claims_granted", len(waiting))
        if not self.is_owner:
            raise _OwnershipLostError

    async def _append(self, batch: ClaimBatch) -> ResultCode:
        data = encode_partition_record(batch)
        for _ in range(APPEND_TRIES):
            try:
                offset = await self._log.append(self.stream, data)
            except LogReplyLostError:
                self._counters.add("claim_append_replies_lost")
                continue
            except LogUnavailableError:
                break
            self._counters.add("claim_appends")
            return await self._confirm(offset, batch)
        self._log_unavailable_until_s = asyncio.get_running_loop().time() + LOG_RETRY_DELAY_S
        self._refuse_queued_outside(batch)
        return ResultCode.PLATFORM_OUT

    async def _confirm(self, offset: int, batch: ClaimBatch) -> ResultCode:
        if offset == self.table.next_offset:
            self.table.apply(offset, batch)
            return ResultCode.OK
        if await self._read_to_end(batch.id):
            return ResultCode.OK
        return ResultCode.CLAIM_OWNER_UNREACHABLE

    def _refuse_queued_outside(self, batch: ClaimBatch) -> None:
        committed = {claim.key for claim in batch.claims}
        for key in tuple(self._queue):
            if key not in committed:
                self._refuse(key, ResultCode.PLATFORM_OUT)

    def _refuse_queued(self, code: ResultCode) -> None:
        for key in tuple(self._queue):
            self._refuse(key, code)

    def _refuse(self, key: bytes, code: ResultCode) -> None:
        entry = self._queue.pop(key)
        if not entry.future.done():
            entry.future.set_result(make_claim_refusal(code))

    async def _read_to_end(self, wanted_id: str = "") -> bool:
        """Apply the stream's records to its end; return whether batch ``wanted_id`` was valid."""
        found = False
        while True:
            try:
                page = await self._log.read(self.stream, self.table.next_offset, PAGE_RECORDS, 0.0)
            except (LogReplyLostError, LogUnavailableError):
                await asyncio.sleep(LOG_RETRY_DELAY_S)
                continue
            for entry in page.records:
                record = _decode_or_none(entry.data)
                if record is None:
                    self.table.next_offset = entry.offset + 1
                    continue
                is_valid = self.table.apply(entry.offset, record)
                found = found or (is_valid and record.id == wanted_id)
            if self.table.next_offset >= page.next_offset or not page.records:
                return found


def _decode_or_none(data: bytes) -> PartitionRecord | None:
    try:
        return decode_partition_record(data)
    except msgspec.MsgspecError:
        return None


def make_claim_refusal(code: ResultCode) -> ClaimReply:
    """Return a refusal with ``code`` that names no holder."""
    return ClaimReply(code)


def _reply_for_held(held: Claim, requested: Claim) -> ClaimReply:
    if held.digest != requested.digest:
        return make_claim_refusal(ResultCode.BODY_DIFFERS)
    is_same_request = (held.holder, held.incarnation, held.claim_id) == (
        requested.holder,
        requested.incarnation,
        requested.claim_id,
    )
    code = ResultCode.OK if is_same_request else ResultCode.REPEATED
    return ClaimReply(code, held.holder, held.incarnation)
