"""Handles requests from other nodes."""

import msgspec

from robinthread._internal.fleet.pool_report import FleetReportRequest
from robinthread._internal.node.handover import Handover
from robinthread._internal.node.host_list_access import HostListAccess
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.peer_messages import (
    HostsProbeRequest,
    JobRequest,
    OwnerStoppedRequest,
    PendingCountsRequest,
    RelayRequest,
    RelayResponse,
    SlowStoreNotice,
    StoreStatusRequest,
    TakeoverRequest,
)
from robinthread._internal.node.record_writer import RecordWriter
from robinthread._internal.node.slow_store import SlowStoreMonitor


class PeerRequestHandler:
    """Dispatches each type of request to the component that handles it."""

    def __init__(
        self,
        owned: OwnedPools,
        records: RecordWriter,
        handover: Handover,
        slow_store: SlowStoreMonitor,
        host_list: HostListAccess,
    ) -> None:
        self._owned = owned
        self._records = records
        self._handover = handover
        self._slow_store = slow_store
        self._host_list = host_list

    async def handle(self, request: msgspec.Struct) -> msgspec.Struct:
        """Return the response to a request; raise ``TypeError`` if its type has no handler."""
        match request:
            case JobRequest():
                return await self._owned.handle_job(request)
            case PendingCountsRequest():
                return self._owned.handle_pending(request)
            case FleetReportRequest():
                return self._owned.handle_fleet_report(request)
            case StoreStatusRequest():
                return self._handover.handle_store_status()
            case TakeoverRequest():
                return await self._handover.handle_takeover(request)
            case OwnerStoppedRequest():
                return self._owned.handle_stopped(request)
            case RelayRequest():
                return await self._relay(request)
            case SlowStoreNotice():
                return self._slow_store.handle_notice(request)
            case HostsProbeRequest():
                return await self._host_list.handle_probe(request)
        raise TypeError(f"no handler for peer requests of type {type(request).__name__}")

    async def _relay(self, request: RelayRequest) -> RelayResponse:
        result = await self._records.write_relayed(request)
        return RelayResponse(result.outcome.value, result.retry_after_s)
