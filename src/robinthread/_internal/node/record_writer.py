"""Appends of records to the inbox, by this node or through another one."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from robinthread._internal.durable.append_admission import HELD_SHARE
from robinthread._internal.durable.errors import (
    StoreNoAnswerError,
    StoreRefusedError,
    StoreRejectedError,
)
from robinthread._internal.durable.group_writer import GroupWriter
from robinthread._internal.durable.ownership import Member
from robinthread._internal.durable.record_limits import RecordLimits, find_excess
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.node.gatherers import AvoidedNodes, choose_gatherers
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.handover import Handover
from robinthread._internal.node.job_request_outcome import JobRequestOutcome, JobRequestResult
from robinthread._internal.node.peer_calls import (
    PeerCalls,
    PeerUnreachableError,
    PeerUnsentError,
)
from robinthread._internal.node.peer_messages import RelayRequest
from robinthread._internal.node.relay import RelayClient
from robinthread._internal.node.slow_store import SlowStoreMonitor
from robinthread._internal.settings.policy_settings import EntryPolicy
from robinthread._internal.telemetry.event_log import EventLog

# Maximum number of nodes that are tried in turn to relay a record that the store rejects here.
RELAYS_MAX: Final = 3
# Maximum wait for one relay while the store is fast: an append takes at most 1.2 s, plus the
# latency between nodes.  A caller with time left then retries at another node; the job id
# prevents a duplicate job.
RELAY_TIMEOUT_S: Final = 1.5
# Least ``hold_s`` of a relay request, in which 0 means that no limit is stated.
RELAY_HOLD_MIN_S: Final = 0.001
# A relaying node responds this long before the requesting one stops waiting.
RELAY_MARGIN_S: Final = 0.05
# A record whose outcome is unknown is written again through another node if this much is left.
REWRITE_MIN_S: Final = 0.4
# A record is not sent to another node with less time than this: a busy peer may respond as late.
SEND_MIN_S: Final = 0.1

REFUSED: Final = JobRequestResult(JobRequestOutcome.REFUSED)
UNKNOWN: Final = JobRequestResult(JobRequestOutcome.UNKNOWN)
TOO_LARGE: Final = JobRequestResult(JobRequestOutcome.TOO_LARGE)


@dataclass(frozen=True, slots=True)
class _Write:
    """A record, the time by which it is to be sent and the one by which it is to be stored.

    Times are of the event loop's clock, in seconds.
    """

    record: KeyedRecord
    send_by_s: float
    deadline_s: float


class RecordWriter:
    """Appends records to the inbox, directly or through another node.

    A partition processes its appends one by one.  If dozens of nodes each appended their few
    records to a slow store, the queue would outlast all callers' deadlines.  While the store is
    slow, all nodes therefore send their records to one gatherer, which appends them in batches, or
    to its deputies if it does not accept them.
    """

    def __init__(
        self,
        me: Member,
        writer: GroupWriter,
        member: GroupMember,
        handover: Handover,
        peers: PeerCalls,
        events: EventLog,
        policy: EntryPolicy,
        slow_store: SlowStoreMonitor,
        limits: RecordLimits,
    ) -> None:
        self._me = me
        self._writer = writer
        self._member = member
        self._handover = handover
        self._events = events
        self._policy = policy
        self._slow_store = slow_store
        self._limits = limits
        self._avoided = AvoidedNodes()
        self._relays = RelayClient(peers, self._avoided)

    async def write(self, record: KeyedRecord, deadline_s: float) -> JobRequestResult:
        """Append a record, here or through another node, before ``deadline_s``.

        The outcome is TOO_LARGE, at once, if the store takes no such record.
        """
        if excess := find_excess(record, self._limits):
            self._events.write(
                "record_rejected", job=record.key.split("/")[1], key=record.key, error=excess
            )
            return TOO_LARGE
        now_s = asyncio.get_running_loop().time()
        write = _Write(record, now_s + HELD_SHARE * (deadline_s - now_s), deadline_s)
        result = await self._write(write)
        if result.outcome is JobRequestOutcome.REFUSED:
            self._events.write(
                "record_refused",
                job=record.key.split("/")[1],
                key=record.key,
                is_cut_off=self._member.is_cut_off,
                is_store_slow=self._slow_store.is_slow,
                retry_after_s=result.retry_after_s,
                store_silent_for_s=round(self._member.get_store_silence_s(), 3),
                served_nodes=[member.node for member in self._handover.served],
            )
        return result

    async def _write(self, write: _Write) -> JobRequestResult:
        if self._member.is_cut_off:
            return await self._relay(write, self._handover.served[:RELAYS_MAX], REFUSED)
        if self._slow_store.is_slow:
            return await self._gather(write, REFUSED)
        result = await self._append(write)
        if result.outcome is JobRequestOutcome.DONE:
            return result
        # The store may have become slow, or serve others.
        is_unknown = result.outcome is JobRequestOutcome.UNKNOWN
        if is_unknown and not self._slow_store.is_slow_and_responding:
            return result
        return await self._gather(write, result, may_append=False)

    async def write_relayed(self, request: RelayRequest) -> JobRequestResult:
        """Append a record for another node; REFUSED if the store does not serve this one.

        While the store is slow, a record that did not come through a node that knows so is sent on
        to the node that appends for all.
        """
        if self._member.is_cut_off:
            return REFUSED
        now_s = asyncio.get_running_loop().time()
        write = _Write(
            KeyedRecord(request.key, request.value),
            now_s + (request.hold_s or HELD_SHARE * request.left_s),
            now_s + request.left_s,
        )
        if self._slow_store.is_slow and not request.is_gathered:
            return await self._gather(write, REFUSED)
        result = await self._append(write)
        # Nodes of older versions do not know this outcome.
        return REFUSED if result.outcome is JobRequestOutcome.TOO_LARGE else result

    async def _gather(
        self, write: _Write, before: JobRequestResult, may_append: bool = True
    ) -> JobRequestResult:
        """Append a record through the gatherers, or here if none of them accepts it.

        A rejection with a time after which to retry is returned to the caller instead.
        ``before`` is the result of an earlier attempt to append it, REFUSED if there was none.
        """
        gatherers = self._choose_gatherers()
        if not may_append:
            gatherers = tuple(member for member in gatherers if member.node != self._me.node)
        result = await self._relay(write, gatherers, before)
        if not may_append or result.outcome is not JobRequestOutcome.REFUSED:
            return result
        if gatherers and (result.retry_after_s or not _has_time(write, is_unknown=False)):
            return result
        return await self._append(write)

    @property
    def _is_known_slow(self) -> bool:
        """Return whether the store is slow for nodes that it responds to."""
        return self._slow_store.is_slow_and_responding or self._slow_store.is_noticed

    def _choose_gatherers(self) -> tuple[Member, ...]:
        """Return the nodes that append for this one; none if the policy says so."""
        if not self._policy.gathers_while_store_slow:
            return ()
        return choose_gatherers(self._member.members, self._avoided.list_now())

    async def _relay(
        self, write: _Write, members: Sequence[Member], before: JobRequestResult
    ) -> JobRequestResult:
        """Append a record through the first node that accepts it.

        Once an attempt is unknown the result is DONE or UNKNOWN, as the record may be stored.
        While the store is fast the caller is told so at once, as another node may serve it better.
        """
        result = before
        for member in members:
            is_unknown = result.outcome is JobRequestOutcome.UNKNOWN
            if not _has_time(write, is_unknown) or (is_unknown and not self._is_known_slow):
                break
            found = await self._write_at(member, write)
            if found.outcome is JobRequestOutcome.DONE:
                return found
            if found.outcome is JobRequestOutcome.UNKNOWN or not is_unknown:
                result = found
        return result

    async def _write_at(self, member: Member, write: _Write) -> JobRequestResult:
        if member.node == self._me.node:
            return await self._append(write)
        return await self._relay_to(member, write)

    async def _relay_to(self, member: Member, write: _Write) -> JobRequestResult:
        now_s = asyncio.get_running_loop().time()
        timeout_s = write.deadline_s - now_s
        if not self._is_known_slow:
            timeout_s = min(timeout_s, RELAY_TIMEOUT_S)
        record = write.record
        request = RelayRequest(
            record.key,
            record.value or b"",
            timeout_s - RELAY_MARGIN_S,
            max(write.send_by_s - now_s, RELAY_HOLD_MIN_S),
            is_gathered=not self._member.is_cut_off,
        )
        try:
            response = await self._relays.send(member, request, timeout_s)
        except PeerUnsentError:
            return REFUSED
        except PeerUnreachableError as error:
            self._log_unknown(record, member.node, error)
            return UNKNOWN
        finally:
            # A slow relay shows that the store is still slow.
            self._writer.latency.record_duration(asyncio.get_running_loop().time() - now_s)
        outcome = JobRequestOutcome(response.outcome)
        if outcome is not JobRequestOutcome.REFUSED:
            self._events.gather(
                "request_relayed",
                by={"relay": member.node, "outcome": outcome.value},
                listed={"jobs": record.key.split("/")[1]},
            )
        return JobRequestResult(outcome, response.retry_after_s)

    async def _append(self, write: _Write) -> JobRequestResult:
        record = write.record
        try:
            await self._writer.write(record, write.deadline_s, write.send_by_s)
        except StoreRejectedError as error:
            self._events.write(
                "record_rejected",
                job=record.key.split("/")[1],
                key=record.key,
                error=str(error),
            )
            return TOO_LARGE
        except StoreRefusedError as error:
            self._events.write(
                "append_refused",
                job=record.key.split("/")[1],
                key=record.key,
                error=f"{type(error).__name__}: {error}",
            )
            return JobRequestResult(JobRequestOutcome.REFUSED, error.retry_after_s)
        except StoreNoAnswerError as error:
            self._log_unknown(record, "", error)
            return UNKNOWN
        return JobRequestResult(JobRequestOutcome.DONE)

    def _log_unknown(self, record: KeyedRecord, relay: str, error: Exception) -> None:
        self._events.write(
            "request_unknown",
            job=record.key.split("/")[1],
            key=record.key,
            relay=relay,
            error=f"{type(error).__name__}: {error}",
        )


def _has_time(write: _Write, is_unknown: bool) -> bool:
    """Return whether there is time to send a record to another node.

    A record that was not sent can still be rejected, so it must be sent by ``send_by_s``.  One that
    may be stored is written again as long as a response can arrive before its deadline.
    """
    now_s = asyncio.get_running_loop().time()
    return (
        now_s < write.deadline_s - REWRITE_MIN_S
        if is_unknown
        else now_s < write.send_by_s and now_s < write.deadline_s - SEND_MIN_S
    )
