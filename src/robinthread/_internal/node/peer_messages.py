"""Messages between nodes, and the URL path of each type of request."""

from typing import Annotated, Final

import msgspec

from robinthread._internal.durable.released_leases import ReleasedLeases
from robinthread._internal.fleet.pool_report import FleetReportRequest
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.node.job_request_outcome import JobRequestOutcome
from robinthread._internal.utils.foreign_input import Number, Seconds

# Texts of states and outcomes; a peer's answer with any other is malformed.
StatusText = Annotated[
    str, msgspec.Meta(pattern=rf"\A(?:{'|'.join(status.value for status in JobStatus)})?\Z")
]
OutcomeText = Annotated[
    str,
    msgspec.Meta(pattern=rf"\A(?:{'|'.join(outcome.value for outcome in JobRequestOutcome)})\Z"),
]


class JobRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the state of a job from the owner of its pool."""

    pool: str
    job_id: str


class JobResponse(msgspec.Struct, frozen=True, array_like=True):
    """The state of a job, as the owner of its pool knows it.

    ``pool`` is the pool of the job, "" if no such job was accepted.  ``status`` is "" if the
    responding node does not own that pool.  ``workspace`` is the workspace of the job.
    """

    is_owner: bool
    pool: str = ""
    status: StatusText = ""
    workspace: str = ""


class PendingCountsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the counts of pending jobs from the owner of a pool."""

    pool: str


class PendingCountsResponse(msgspec.Struct, frozen=True, array_like=True):
    """Number of pending jobs by queue, without the queues that have none."""

    is_owner: bool
    counts: dict[str, Number] = {}


class StoreStatusRequest(msgspec.Struct, frozen=True, array_like=True):
    """Queries whether the store serves a node, and the load of that node."""


class StoreStatusResponse(msgspec.Struct, frozen=True, array_like=True):
    """Whether the store serves a node, the number of pools it owns and the lag of its event loop.

    ``is_member`` is true if its ``incarnation`` has joined the store's group within its time to
    live.  ``is_store_silent`` is true if its joins fail or have had no response for long.
    """

    is_served: bool
    owned_count: Number
    lag_s: Seconds = 0.0
    is_member: bool = False
    incarnation: str = ""
    is_store_silent: bool = False


class TakeoverRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests that a node take over pools whose owners, under ``tokens``, have stopped.

    ``leases`` are those that these owners leave, by pool.
    """

    tokens: dict[str, Number]
    leases: dict[str, ReleasedLeases] = {}


class TakeoverResponse(msgspec.Struct, frozen=True, array_like=True):
    """The pools that the node has taken over."""

    taken: tuple[str, ...]


class OwnerStoppedRequest(msgspec.Struct, frozen=True, array_like=True):
    """Queries whether a node's owners of a pool, up to this token, have all stopped."""

    pool: str
    token: Number


class OwnerStoppedResponse(msgspec.Struct, frozen=True, array_like=True):
    """Whether all those owners at a node have stopped, and so give no more orders."""

    node: str
    has_stopped: bool


class RelayRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests that a node append a record to the inbox within ``left_s`` seconds.

    ``hold_s`` is for how long the record may wait unsent, 0 if the requesting process is of a
    version that did not limit it.  ``is_gathered`` is set if the requesting node chose this one to
    append for all while the store is slow.
    """

    key: str
    value: bytes
    left_s: Seconds
    hold_s: Seconds = 0.0
    is_gathered: bool = False


class RelayResponse(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a relayed record, as the value of a ``JobRequestOutcome``.

    ``retry_after_s`` is when a refused record is expected to be accepted, 0 if unknown.
    """

    outcome: OutcomeText
    retry_after_s: Seconds = 0.0


class SlowStoreNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tells a node that the store is slow, as ``node`` has noticed.

    ``is_confirmed`` is set if that node knows of another that has noticed too.
    """

    node: str
    is_confirmed: bool = False


class SlowStoreResponse(msgspec.Struct, frozen=True, array_like=True):
    """Confirms a notice that the store is slow."""


class HostsProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Queries whether a node can read the hosts' partition from an offset."""

    offset: int


class HostsProbeResponse(msgspec.Struct, frozen=True, array_like=True):
    """Whether the node has just read the hosts' partition."""

    is_read: bool


REQUEST_PATHS: Final[dict[type[msgspec.Struct], str]] = {
    JobRequest: "/job",
    PendingCountsRequest: "/pending",
    FleetReportRequest: "/fleet",
    StoreStatusRequest: "/store",
    TakeoverRequest: "/take",
    OwnerStoppedRequest: "/stopped",
    RelayRequest: "/relay",
    SlowStoreNotice: "/slow",
    HostsProbeRequest: "/hosts",
}
