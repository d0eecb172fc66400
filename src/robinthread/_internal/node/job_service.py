"""Callers' requests for jobs, which any node serves."""

import asyncio
import itertools
from dataclasses import dataclass
from typing import Final, TypeVar

from robinthread._internal.durable.inbox_records import make_cancel_record, make_job_record
from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.models.job_spec import JobSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.queue_policy import QueuePolicy
from robinthread._internal.models.workspace_policy import may_access
from robinthread._internal.node.job_request_outcome import JobRequestOutcome, JobRequestResult
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.peer_calls import PeerCalls, PeerUnreachableError
from robinthread._internal.node.peer_messages import (
    JobRequest,
    JobResponse,
    PendingCountsRequest,
    PendingCountsResponse,
)
from robinthread._internal.node.record_writer import RecordWriter
from robinthread._internal.telemetry.event_log import EventLog

# Maximum age of a cached count of pending jobs.  Callers accept a count that is 2 s old.
PENDING_AGE_MAX_S: Final = 0.8
# Maximum number of accepted and of ended jobs that a node caches, to respond to repeated
# requests without another record or another query.
REMEMBERED_JOBS_MAX: Final = 20_000

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class JobState:
    """Outcome of a query for a job, and the job's status, or None if it is unknown."""

    outcome: JobRequestOutcome
    status: JobStatus | None = None


@dataclass(frozen=True, slots=True)
class _EndedJob:
    status: JobStatus
    workspace: str


class JobService:
    """Accepts and cancels jobs and returns their state, on any node.

    A caller's ``workspace`` is None if the queue requires no key.  A job of another workspace
    is reported to a caller as nonexistent.
    """

    def __init__(
        self,
        me: Member,
        records: RecordWriter,
        owned: OwnedPools,
        table: OwnerTable,
        peers: PeerCalls,
        events: EventLog,
    ) -> None:
        self._me = me
        self._records = records
        self._owned = owned
        self._table = table
        self._peers = peers
        self._events = events
        self._copies = itertools.count()
        self._accepted: dict[str, str] = {}
        self._ended: dict[str, _EndedJob] = {}
        self._pending: dict[str, tuple[float, dict[str, int]]] = {}

    async def accept(self, spec: JobSpec, deadline_s: float) -> JobRequestOutcome:
        """Accept a job; the outcome is DONE once the store has its record."""
        return (await self.submit(spec, deadline_s)).outcome

    async def submit(self, spec: JobSpec, deadline_s: float) -> JobRequestResult:
        """Accept a job, like ``accept``; a refused one may have a time after which to retry."""
        accepted_of = self._accepted.get(spec.job_id)
        if accepted_of is not None:
            # A job without a workspace was submitted while its queue was public.
            is_same = not spec.workspace or may_access(spec.workspace, accepted_of)
            return JobRequestResult(
                JobRequestOutcome.DONE if is_same else JobRequestOutcome.ID_TAKEN
            )
        copy = f"{self._me.incarnation}.{next(self._copies)}"
        result = await self._records.write(make_job_record(spec, copy), deadline_s)
        if result.outcome is JobRequestOutcome.DONE:
            _remember(self._accepted, spec.job_id, spec.workspace)
            self._events.write(
                "job_accepted",
                job=spec.job_id,
                queue=spec.queue,
                pool=spec.pool,
                workspace=spec.workspace,
                config_version=spec.config_version,
                task_count=sum(step.task_count for step in spec.steps),
            )
            if len(self._accepted) == 1:
                self._events.write(
                    "first_accept", job=spec.job_id, pool=spec.pool, up_s=self._events.up_s
                )
        return result

    async def cancel(
        self, queue: QueuePolicy, job_id: str, deadline_s: float, workspace: str | None = None
    ) -> JobRequestOutcome:
        """Cancel a job; the outcome is DONE once the store has the cancel record."""
        return (await self.request_cancel(queue, job_id, deadline_s, workspace)).outcome

    async def request_cancel(
        self, queue: QueuePolicy, job_id: str, deadline_s: float, workspace: str | None = None
    ) -> JobRequestResult:
        """Cancel a job, like ``cancel``; a refused request may have a time after which to retry.

        If the job's workspace cannot be determined now, the pool's owner checks it when it
        reads the record.
        """
        state = await self.get_status(queue, job_id, workspace)
        if state.outcome is JobRequestOutcome.NO_SUCH_JOB:
            return JobRequestResult(JobRequestOutcome.NO_SUCH_JOB)
        if state.status is not None and state.status.is_final:
            return JobRequestResult(JobRequestOutcome.DONE)
        return await self._records.write(make_cancel_record(job_id, workspace), deadline_s)

    async def get_status(
        self, queue: QueuePolicy, job_id: str, workspace: str | None = None
    ) -> JobState:
        """Return a job's status as its pool's owner reports it; final statuses are cached."""
        ended = self._ended.get(job_id)
        if ended is not None:
            if not may_access(workspace, ended.workspace):
                return JobState(JobRequestOutcome.NO_SUCH_JOB)
            return JobState(JobRequestOutcome.DONE, ended.status)
        response = await self._query_job(queue.pool, job_id)
        if response.is_owner and not response.status and response.pool not in ("", queue.pool):
            response = await self._query_job(response.pool, job_id)
        if not response.is_owner or (response.pool and not response.status):
            return JobState(JobRequestOutcome.OWNER_UNREACHABLE)
        if not response.pool or not may_access(workspace, response.workspace):
            return JobState(JobRequestOutcome.NO_SUCH_JOB)
        status = JobStatus(response.status)
        if status.is_final:
            _remember(self._ended, job_id, _EndedJob(status, response.workspace))
        return JobState(JobRequestOutcome.DONE, status)

    async def count_pending(self, queue: QueuePolicy) -> int | None:
        """Count the queue's jobs of which no task has started; None if the owner is unreachable."""
        now_s = asyncio.get_running_loop().time()
        read_at_s, counts = self._pending.get(queue.pool, (-PENDING_AGE_MAX_S, {}))
        if now_s - read_at_s >= PENDING_AGE_MAX_S:
            response = await self._query_pending(queue.pool)
            if not response.is_owner:
                return None
            counts = response.counts
            self._pending[queue.pool] = (now_s, counts)
        return counts.get(queue.name, 0)

    async def _query_job(self, pool: str, job_id: str) -> JobResponse:
        request = JobRequest(pool, job_id)
        owner = self._table.get(pool)
        if owner is None:
            return JobResponse(is_owner=False)
        if owner.owner == self._me:
            return await self._owned.handle_job(request)
        try:
            return await self._peers.send_request(owner.owner.address, request, JobResponse)
        except PeerUnreachableError as error:
            self._log_unreachable(pool, owner.owner, error)
            return JobResponse(is_owner=False)

    async def _query_pending(self, pool: str) -> PendingCountsResponse:
        request = PendingCountsRequest(pool)
        owner = self._table.get(pool)
        if owner is None:
            return PendingCountsResponse(is_owner=False)
        if owner.owner == self._me:
            return self._owned.handle_pending(request)
        try:
            address = owner.owner.address
            return await self._peers.send_request(address, request, PendingCountsResponse)
        except PeerUnreachableError as error:
            self._log_unreachable(pool, owner.owner, error)
            return PendingCountsResponse(is_owner=False)

    def _log_unreachable(self, pool: str, owner: Member, error: Exception) -> None:
        self._events.write("owner_unreachable", pool=pool, owner=owner.node, error=str(error))


def _remember(cache: dict[str, T], key: str, value: T) -> None:
    cache[key] = value
    if len(cache) > REMEMBERED_JOBS_MAX:
        del cache[next(iter(cache))]
