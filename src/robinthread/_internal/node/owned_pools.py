"""Owners of this node's pools, and responses to requests for their state."""

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
from robinthread._internal.utils.error_text import describe_error


class OwnedPools:
    """Owners by pool; handles other nodes' requests for the state of pools and jobs."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.owners: dict[str, PoolOwner] = {}
        self._running_owners: list[PoolOwner] = []

    def make_owner(self, pool: str, token: int, predecessors: Predecessors) -> PoolOwner:
        """Create and register the owner of a pool under a token."""
        partitions = self._context.settings.store.partition_count
        partition = zlib.crc32(pool.encode()) % partitions
        owner = self.owners[pool] = PoolOwner(self._context, pool, token, partition, predecessors)
        self._running_owners = [other for other in self._running_owners if not other.has_stopped]
        self._running_owners.append(owner)
        return owner

    def handle_stopped(self, request: OwnerStoppedRequest) -> OwnerStoppedResponse:
        """Return whether all owners of a pool under a token or a lower one have stopped here.

        None can start later: the requesting node has fenced such owners out of the pool's
        journal, which an owner must open before its first order.
        """
        is_running = any(
            owner.pool == request.pool and owner.token <= request.token and not owner.has_stopped
            for owner in self._running_owners
        )
        return OwnerStoppedResponse(self._context.settings.name, not is_running)

    async def handle_job(self, request: JobRequest) -> JobResponse:
        """Return a job's pool and status; an unknown job is looked up again in a fresh inbox."""
        owner = self.owners.get(request.pool)
        if owner is None or not owner.is_open:
            return JobResponse(is_owner=False)
        indexed = self._context.job_index.jobs.get(request.job_id)
        if indexed is None:
            try:
                await self._context.read_inbox_once()
            except StoreError:
                return JobResponse(is_owner=False)
            indexed = self._context.job_index.jobs.get(request.job_id)
        if indexed is None:
            return JobResponse(is_owner=True)
        pool = indexed.spec.pool
        holder = self.owners.get(pool)
        status = holder.get_status(request.job_id) if holder and holder.is_open else None
        return JobResponse(True, pool, _format_status(status), indexed.spec.workspace)

    def handle_pending(self, request: PendingCountsRequest) -> PendingCountsResponse:
        """Return the number of pending jobs of a pool by queue."""
        owner = self.owners.get(request.pool)
        if owner is None or not owner.is_open:
            return PendingCountsResponse(is_owner=False)
        return PendingCountsResponse(is_owner=True, counts=owner.count_pending())

    def handle_fleet_report(self, request: FleetReportRequest) -> PoolReport:
        """Apply the steward's request and return a pool's status report."""
        owner = self.owners.get(request.pool)
        if owner is None or not owner.is_open:
            return PoolReport(is_owner=False)
        try:
            return owner.report(request)
        except Exception as error:
            # Without a report the pool's machines stay as they are, and others are planned.
            self._context.events.gather(
                "pool_report_failed", by={"pool": request.pool}, **describe_error(error)
            )
            return PoolReport(is_owner=False)


def _format_status(status: JobStatus | None) -> str:
    return "" if status is None else status.value
