"""The pools that this node owns."""

import zlib

from robinthread._internal.durable.errors import StoreError
from robinthread._internal.fleet.pool_report import FleetReportRequest, PoolReport
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.node.context import NodeContext
from robinthread._internal.node.peer_messages import (
    JobRequest,
    JobResponse,
    OwnerStoppedRequest,
    OwnerStoppedResponse,
    PendingCountsRequest,
    PendingCountsResponse,
)
from robinthread._internal.node.pool_owner import PoolOwner
from robinthread._internal.node.predecessors import Predecessors


class OwnedPools:
    """Owners by pool, and answers about their jobs."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.owners: dict[str, PoolOwner] = {}
        self._unstopped: list[PoolOwner] = []

    def make_owner(self, pool: str, token: int, predecessors: Predecessors) -> PoolOwner:
        """Make the owner of a pool."""
        partitions = self._context.settings.store.partition_count
        partition = zlib.crc32(pool.encode()) % partitions
        owner = self.owners[pool] = PoolOwner(self._context, pool, token, partition, predecessors)
        self._unstopped = [other for other in self._unstopped if not other.has_stopped]
        self._unstopped.append(owner)
        return owner

    def handle_stopped(self, question: OwnerStoppedRequest) -> OwnerStoppedResponse:
        """Tell whether no owner of a pool under a token or a lower one gives orders here.

        None will later: whoever asks has shut such owners out of the pool's journal, which
        an owner must open before its first order.
        """
        is_running = any(
            owner.pool == question.pool and owner.token <= question.token and not owner.has_stopped
            for owner in self._unstopped
        )
        return OwnerStoppedResponse(self._context.settings.name, not is_running)

    async def handle_job(self, question: JobRequest) -> JobResponse:
        """Tell what is known of a job, reading the inbox again before saying nothing is."""
        owner = self.owners.get(question.pool)
        if owner is None or not owner.is_open:
            return JobResponse(is_owner=False)
        indexed = self._context.job_index.jobs.get(question.job_id)
        if indexed is None:
            try:
                await self._context.read_inbox_once()
            except StoreError:
                return JobResponse(is_owner=False)
            indexed = self._context.job_index.jobs.get(question.job_id)
        if indexed is None:
            return JobResponse(is_owner=True)
        pool = indexed.spec.pool
        holder = self.owners.get(pool)
        status = holder.get_status(question.job_id) if holder and holder.is_open else None
        return JobResponse(True, pool, _format(status), indexed.spec.workspace)

    def handle_pending(self, question: PendingCountsRequest) -> PendingCountsResponse:
        """Count the pending jobs of a pool by queue."""
        owner = self.owners.get(question.pool)
        if owner is None or not owner.is_open:
            return PendingCountsResponse(is_owner=False)
        return PendingCountsResponse(is_owner=True, counts=owner.count_pending())

    def handle_fleet_report(self, question: FleetReportRequest) -> PoolReport:
        """Tell how a pool stands."""
        owner = self.owners.get(question.pool)
        if owner is None or not owner.is_open:
            return PoolReport(is_owner=False)
        return owner.report(question)


def _format(status: JobStatus | None) -> str:
    return "" if status is None else status.value
