"""What callers may ask of any node."""

import asyncio
import enum
import itertools
from dataclasses import dataclass
from typing import Final

from robinthread._internal.durable.errors import StoreNoAnswerError, StoreRefusedError
from robinthread._internal.durable.group_writer import GroupWriter
from robinthread._internal.durable.inbox_records import make_cancel_record, make_job_record
from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.models.job_spec import JobSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.handover import Handover
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.peer_calls import (
    PeerCalls,
    PeerUnreachableError,
    PeerUnsentError,
)
from robinthread._internal.node.peer_messages import (
    JobAnswer,
    JobQuestion,
    PendingAnswer,
    PendingQuestion,
    RelayAnswer,
    RelayQuestion,
)
from robinthread._internal.telemetry.event_log import EventLog

# How old a count of pending jobs may be; callers bear 2 s.
PENDING_AGE_MAX_S: Final = 0.8
# Accepted ids that are remembered, to answer repeats without another record.
ACCEPTED_KEPT_MAX: Final = 20_000
# Nodes asked in turn to append what the store does not take here.
RELAYS_MAX: Final = 3
# Longest wait for one of them: one append takes 1.2 s at most, and the way.  A caller that
# has time left then asks again elsewhere; its job stays one.
RELAY_TIMEOUT_S: Final = 1.5


class GateOutcome(enum.Enum):
    """Outcome of a caller's request.

    REFUSED: the store does not take it, so it has not run and will not.
    OWNER_UNREACHABLE: what is asked for cannot be told now.
    """

    DONE = "done"
    REFUSED = "refused"
    OWNER_UNREACHABLE = "owner unreachable"
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no such job"


@dataclass(frozen=True, slots=True)
class JobTold:
    """Outcome of asking for a job, and its status where there is one."""

    outcome: GateOutcome
    status: JobStatus | None = None


class JobGate:
    """Takes jobs in, cancels them and tells their state, at any node."""

    def __init__(
        self,
        me: Member,
        writer: GroupWriter,
        owned: OwnedPools,
        table: OwnerTable,
        member: GroupMember,
        handover: Handover,
        peers: PeerCalls,
        events: EventLog,
    ) -> None:
        self._me = me
        self._member = member
        self._handover = handover
        self._writer = writer
        self._owned = owned
        self._table = table
        self._peers = peers
        self._events = events
        self._copies = itertools.count()
        self._accepted: dict[str, None] = {}
        self._ended: dict[str, JobStatus] = {}
        self._pending: dict[str, tuple[float, dict[str, int]]] = {}

    async def accept(self, spec: JobSpec, deadline_s: float) -> GateOutcome:
        """Take a job in; done means that the store keeps it."""
        if spec.job_id in self._accepted:
            return GateOutcome.DONE
        copy = f"{self._me.life}.{next(self._copies)}"
        outcome = await self._write(make_job_record(spec, copy), deadline_s)
        if outcome is GateOutcome.DONE:
            _remember(self._accepted, spec.job_id, None)
            self._events.write(
                "job_accepted",
                job=spec.job_id,
                queue=spec.queue,
                pool=spec.pool,
                config_version=spec.config_version,
                task_count=sum(step.task_count for step in spec.steps),
            )
            if len(self._accepted) == 1:
                self._events.write(
                    "first_accept", job=spec.job_id, pool=spec.pool, up_s=self._events.up_s
                )
        return outcome

    async def cancel(self, queue: QueuePolicy, job_id: str, deadline_s: float) -> GateOutcome:
        """Cancel a job; done means that the store keeps it."""
        told = await self.get_status(queue, job_id)
        if told.outcome is GateOutcome.NO_SUCH_JOB:
            return GateOutcome.NO_SUCH_JOB
        if told.status is not None and told.status.is_final:
            return GateOutcome.DONE
        return await self._write(make_cancel_record(job_id), deadline_s)

    async def get_status(self, queue: QueuePolicy, job_id: str) -> JobTold:
        """Tell a job's status as its pool's owner knows it."""
        ended = self._ended.get(job_id)
        if ended is not None:
            return JobTold(GateOutcome.DONE, ended)
        answer = await self._ask_job(queue.pool, job_id)
        if answer.is_owner and not answer.status and answer.pool not in ("", queue.pool):
            answer = await self._ask_job(answer.pool, job_id)
        if not answer.is_owner or (answer.pool and not answer.status):
            return JobTold(GateOutcome.OWNER_UNREACHABLE)
        if not answer.pool:
            return JobTold(GateOutcome.NO_SUCH_JOB)
        status = JobStatus(answer.status)
        if status.is_final:
            _remember(self._ended, job_id, status)
        return JobTold(GateOutcome.DONE, status)

    async def count_pending(self, queue: QueuePolicy) -> int | None:
        """Count the queue's jobs of which nothing has begun; None where unknown."""
        now_s = asyncio.get_running_loop().time()
        read_at_s, counts = self._pending.get(queue.pool, (-PENDING_AGE_MAX_S, {}))
        if now_s - read_at_s >= PENDING_AGE_MAX_S:
            answer = await self._ask_pending(queue.pool)
            if not answer.is_owner:
                return None
            counts = answer.counts
            self._pending[queue.pool] = (now_s, counts)
        return counts.get(queue.name, 0)

    async def _ask_job(self, pool: str, job_id: str) -> JobAnswer:
        question = JobQuestion(pool, job_id)
        owner = self._table.get(pool)
        if owner is None:
            return JobAnswer(is_owner=False)
        if owner.owner == self._me:
            return await self._owned.answer_job(question)
        try:
            return await self._peers.ask(owner.owner.address, question, JobAnswer)
        except PeerUnreachableError as error:
            self._note_unreachable(pool, owner.owner, error)
            return JobAnswer(is_owner=False)

    async def _ask_pending(self, pool: str) -> PendingAnswer:
        question = PendingQuestion(pool)
        owner = self._table.get(pool)
        if owner is None:
            return PendingAnswer(is_owner=False)
        if owner.owner == self._me:
            return self._owned.answer_pending(question)
        try:
            address = owner.owner.address
            return await self._peers.ask(address, question, PendingAnswer)
        except PeerUnreachableError as error:
            self._note_unreachable(pool, owner.owner, error)
            return PendingAnswer(is_owner=False)

    def _note_unreachable(self, pool: str, owner: Member, error: Exception) -> None:
        self._events.write("owner_unreachable", pool=pool, owner=owner.node, error=str(error))

    async def write_relayed(self, record: KeyedRecord, deadline_s: float) -> GateOutcome:
        """Append a record for a node that the store does not serve."""
        if self._member.is_cut_off:
            return GateOutcome.REFUSED
        return await self._append(record, deadline_s)

    async def _write(self, record: KeyedRecord, deadline_s: float) -> GateOutcome:
        """Append a record, here or through another node."""
        if self._member.is_cut_off:
            outcome = await self._relay(record, deadline_s)
        else:
            outcome = await self._append(record, deadline_s)
        if outcome is GateOutcome.REFUSED:
            self._events.write(
                "record_refused",
                job=record.key.split("/")[1],
                key=record.key,
                is_cut_off=self._member.is_cut_off,
                store_silent_for_s=round(self._member.get_silence_s(), 3),
                served_nodes=[member.node for member in self._handover.served],
            )
        return outcome

    async def _relay(self, record: KeyedRecord, deadline_s: float) -> GateOutcome:
        """Have a node that the store serves append a record; refused where none will."""
        for member in self._handover.served[:RELAYS_MAX]:
            outcome = await self._relay_to(member, record, deadline_s)
            if outcome is not GateOutcome.REFUSED:
                return outcome
        return GateOutcome.REFUSED

    async def _relay_to(
        self, member: Member, record: KeyedRecord, deadline_s: float
    ) -> GateOutcome:
        left_s = deadline_s - asyncio.get_running_loop().time()
        if left_s <= 0:
            return GateOutcome.REFUSED
        timeout_s = min(left_s, RELAY_TIMEOUT_S)
        question = RelayQuestion(record.key, record.value or b"", timeout_s)
        try:
            answer = await self._peers.ask(member.address, question, RelayAnswer, timeout_s)
        except PeerUnsentError:
            return GateOutcome.REFUSED
        except PeerUnreachableError as error:
            self._note_unknown(record, member.node, error)
            return GateOutcome.UNKNOWN
        outcome = GateOutcome(answer.outcome)
        if outcome is not GateOutcome.REFUSED:
            self._events.write(
                "request_relayed",
                job=record.key.split("/")[1],
                key=record.key,
                relay=member.node,
                outcome=outcome.value,
            )
        return outcome

    async def _append(self, record: KeyedRecord, deadline_s: float) -> GateOutcome:
        try:
            await self._writer.write(record, deadline_s)
        except StoreRefusedError as error:
            self._events.write(
                "append_refused",
                job=record.key.split("/")[1],
                key=record.key,
                error=f"{type(error).__name__}: {error}",
            )
            return GateOutcome.REFUSED
        except StoreNoAnswerError as error:
            self._note_unknown(record, "", error)
            return GateOutcome.UNKNOWN
        return GateOutcome.DONE

    def _note_unknown(self, record: KeyedRecord, relay: str, error: Exception) -> None:
        self._events.write(
            "request_unknown",
            job=record.key.split("/")[1],
            key=record.key,
            relay=relay,
            error=f"{type(error).__name__}: {error}",
        )


def _remember(kept: dict, key: str, value: JobStatus | None) -> None:  # type: ignore[type-arg]
    kept[key] = value
    if len(kept) > ACCEPTED_KEPT_MAX:
        del kept[next(iter(kept))]
