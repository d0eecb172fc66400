"""Messages between nodes, and the path on which each question is asked."""

from typing import Final

import msgspec

from robinthread._internal.fleet.pool_report import FleetReportRequest


class JobRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a pool's owner for a job."""

    pool: str
    job_id: str


class JobResponse(msgspec.Struct, frozen=True, array_like=True):
    """What a pool's owner knows of a job.

    ``pool`` is where the job belongs, "" where no such job was handed in.
    ``status`` is "" where the one asked does not own that pool.  ``workspace`` tells whose
    job it is.
    """

    is_owner: bool
    pool: str = ""
    status: str = ""
    workspace: str = ""


class PendingCountsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a pool's owner for its pending jobs."""

    pool: str


class PendingCountsResponse(msgspec.Struct, frozen=True, array_like=True):
    """Count of pending jobs of each queue that has any."""

    is_owner: bool
    counts: dict[str, int] = {}


class StoreStatusRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a node whether the store serves it."""


class StoreStatusResponse(msgspec.Struct, frozen=True, array_like=True):
    """Whether the store serves a node, how many pools it owns, how late its loop runs.

    ``is_member`` tells whether the store has heard its ``incarnation`` within its time to live.
    """

    is_served: bool
    owned_count: int
    lag_s: float = 0.0
    is_member: bool = False
    incarnation: str = ""


class TakeoverRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a node to take pools over; ``tokens`` are those of their owner, which has stopped."""

    tokens: dict[str, int]


class TakeoverResponse(msgspec.Struct, frozen=True, array_like=True):
    """The pools that were taken over."""

    taken: tuple[str, ...]


class OwnerStoppedRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a node whether it has stopped owning a pool under a token and any lower one."""

    pool: str
    token: int


class OwnerStoppedResponse(msgspec.Struct, frozen=True, array_like=True):
    """Whether all such owners at a node have stopped: they give no order any more."""

    node: str
    has_stopped: bool


class RelayRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a node to append a record to the inbox, within ``left_s`` seconds."""

    key: str
    value: bytes
    left_s: float


class RelayResponse(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a relayed record: the value of a ``JobRequestOutcome``."""

    outcome: str


REQUEST_PATHS: Final[dict[type[msgspec.Struct], str]] = {
    JobRequest: "/job",
    PendingCountsRequest: "/pending",
    FleetReportRequest: "/fleet",
    StoreStatusRequest: "/store",
    TakeoverRequest: "/take",
    OwnerStoppedRequest: "/stopped",
    RelayRequest: "/relay",
}
