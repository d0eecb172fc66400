"""Appends of records to the inbox, by this node or through another one."""

import asyncio
from typing import Final

from robinthread._internal.durable.errors import StoreNoAnswerError, StoreRefusedError
from robinthread._internal.durable.group_writer import GroupWriter
from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.node.election import FLEET_POOL
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.handover import Handover
from robinthread._internal.node.job_request_outcome import JobRequestOutcome
from robinthread._internal.node.peer_calls import (
    PeerCalls,
    PeerUnreachableError,
    PeerUnsentError,
)
from robinthread._internal.node.peer_messages import RelayRequest, RelayResponse
from robinthread._internal.settings.policy_settings import EntryPolicy
from robinthread._internal.telemetry.event_log import EventLog

# Maximum number of nodes that are tried in turn to relay a record that the store rejects here.
RELAYS_MAX: Final = 3
# Maximum wait for one relay: an append takes at most 1.2 s, plus the latency between nodes.  A
# caller with time left then retries at another node; the job id prevents a duplicate job.
RELAY_TIMEOUT_S: Final = 1.5


class RecordWriter:
    """Appends records to the inbox, directly or through another node.

    A partition processes its appends one by one.  If dozens of nodes each appended their few
    records to a slow store, the queue would outlast all callers' deadlines: with 32 nodes and a
    store slowed down 35 times, 30 of 1,030 requests were accepted.  While the store is slow,
    all nodes therefore send their records to the fleet's steward, which appends them in batches.
    """

    def __init__(
        self,
        me: Member,
        writer: GroupWriter,
        table: OwnerTable,
        member: GroupMember,
        handover: Handover,
        peers: PeerCalls,
        events: EventLog,
        policy: EntryPolicy,
    ) -> None:
        self._me = me
        self._writer = writer
        self._table = table
        self._member = member
        self._handover = handover
        self._peers = peers
        self._events = events
        self._policy = policy

    async def write(self, record: KeyedRecord, deadline_s: float) -> JobRequestOutcome:
        """Append a record, here or through another node, before ``deadline_s``."""
        if self._member.is_cut_off:
            outcome = await self._relay(record, deadline_s)
        elif self._writer.latency.is_slow or self._member.join_latency.is_slow:
            outcome = await self._append_through_steward(record, deadline_s)
        else:
            outcome = await self._append(record, deadline_s)
            if outcome is JobRequestOutcome.REFUSED:
                outcome = await self._append_through_steward(record, deadline_s, may_append=False)
        if outcome is JobRequestOutcome.REFUSED:
            self._events.write(
                "record_refused",
                job=record.key.split("/")[1],
                key=record.key,
                is_cut_off=self._member.is_cut_off,
                store_silent_for_s=round(self._member.get_store_silence_s(), 3),
                served_nodes=[member.node for member in self._handover.served],
            )
        return outcome

    async def write_relayed(self, record: KeyedRecord, deadline_s: float) -> JobRequestOutcome:
        """Append a record for another node; REFUSED if the store does not serve this one."""
        if self._member.is_cut_off:
            return JobRequestOutcome.REFUSED
        return await self._append(record, deadline_s)

    async def _append_through_steward(
        self, record: KeyedRecord, deadline_s: float, may_append: bool = True
    ) -> JobRequestOutcome:
        """Append a record through the steward, or here if that is refused and ``may_append``.

        The duration of the relay counts as append latency, so a slow relay shows that the store
        is still slow.
        """
        remote_steward = self._find_remote_steward()
        if remote_steward is not None:
            began_at_s = asyncio.get_running_loop().time()
            outcome = await self._relay_to(remote_steward, record, deadline_s)
            self._writer.latency.record_duration(asyncio.get_running_loop().time() - began_at_s)
            if outcome is not JobRequestOutcome.REFUSED:
                return outcome
        return await self._append(record, deadline_s) if may_append else JobRequestOutcome.REFUSED

    def _find_remote_steward(self) -> Member | None:
        """Return the steward's node, or None if it is this node or unknown.

        Also return None if the policy disables appends through the steward.
        """
        steward = self._table.get(FLEET_POOL)
        if not self._policy.gathers_while_store_slow or steward is None:
            return None
        return None if steward.owner.node == self._me.node else steward.owner

    async def _relay(self, record: KeyedRecord, deadline_s: float) -> JobRequestOutcome:
        """Append a record through a node that the store serves; REFUSED if none accepts it."""
        for member in self._handover.served[:RELAYS_MAX]:
            outcome = await self._relay_to(member, record, deadline_s)
            if outcome is not JobRequestOutcome.REFUSED:
                return outcome
        return JobRequestOutcome.REFUSED

    async def _relay_to(
        self, member: Member, record: KeyedRecord, deadline_s: float
    ) -> JobRequestOutcome:
        left_s = deadline_s - asyncio.get_running_loop().time()
        if left_s <= 0:
            return JobRequestOutcome.REFUSED
        timeout_s = min(left_s, RELAY_TIMEOUT_S)
        request = RelayRequest(record.key, record.value or b"", timeout_s)
        try:
            response = await self._peers.send_request(
                member.address, request, RelayResponse, timeout_s
            )
        except PeerUnsentError:
            return JobRequestOutcome.REFUSED
        except PeerUnreachableError as error:
            self._log_unknown(record, member.node, error)
            return JobRequestOutcome.UNKNOWN
        outcome = JobRequestOutcome(response.outcome)
        if outcome is not JobRequestOutcome.REFUSED:
            self._events.gather(
                "request_relayed",
                by={"relay": member.node, "outcome": outcome.value},
                listed={"jobs": record.key.split("/")[1]},
            )
        return outcome

    async def _append(self, record: KeyedRecord, deadline_s: float) -> JobRequestOutcome:
        try:
            await self._writer.write(record, deadline_s)
        except StoreRefusedError as error:
            self._events.write(
                "append_refused",
                job=record.key.split("/")[1],
                key=record.key,
                error=f"{type(error).__name__}: {error}",
            )
            return JobRequestOutcome.REFUSED
        except StoreNoAnswerError as error:
            self._log_unknown(record, "", error)
            return JobRequestOutcome.UNKNOWN
        return JobRequestOutcome.DONE

    def _log_unknown(self, record: KeyedRecord, relay: str, error: Exception) -> None:
        self._events.write(
            "request_unknown",
            job=record.key.split("/")[1],
            key=record.key,
            relay=relay,
            error=f"{type(error).__name__}: {error}",
        )
