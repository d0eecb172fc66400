"""Messages between the steward and the owners of pools: report requests and pool reports."""

from typing import Final

import msgspec

from robinthread._internal.models.open_work import PoolWorkReport
from robinthread._internal.models.workspace_shares import (
    ShareOrder,
    ShareState,
    WorkspaceUsage,
)

# A machine gets no work for this long after the steward's last request to vacate it.
VACATED_FOR_S: Final = 2.0


class ReportTime(msgspec.Struct, frozen=True, array_like=True):
    """When an owner made a report: its fencing token, and the time on its own loop's clock."""

    token: int
    at_s: float


class FleetReportRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the status of a pool from its owner, with instructions to the owner.

    The owner vacates the machines in ``vacate``.  ``expects_hosts`` announces a machine that is
    about to come up in the pool.  The machines no longer had the hosts in ``ended``
    when they were listed, which was after the owner's report of ``ended_by``; None if the steward
    had no report before, or is of an older version.  ``shares`` are the pool's shares of
    workspaces' limits, None if no workspace has a limit.  Another pool needs the machines in
    ``vacate_at_once``, which are part of ``vacate``.
    """

    pool: str
    vacate: tuple[str, ...] = ()
    expects_hosts: bool = False
    ended: tuple[str, ...] = ()
    shares: ShareOrder | None = None
    vacate_at_once: tuple[str, ...] = ()
    ended_by: ReportTime | None = None


class HostStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status of one host of a pool.

    ``is_usable``: it responds and accepts work, or would if it were not being vacated.
    ``is_vacating``: confirms that it gets no new work.
    ``is_needed``: tasks that do not fit on every host wait for it.
    ``is_awaited``: it has not responded to its owner yet, and is expected to.
    ``host_started_at_ms``: the start time of this incarnation of the host, None if unknown.
    ``empty_in_ms``: an estimate of the time until it has no runs, if those that keep checkpoints
    are stopped; None from a process of an older version.
    """

    machine: str
    host_id: str
    is_usable: bool
    is_vacating: bool
    run_count: int
    lasting_count: int
    is_needed: bool = False
    is_awaited: bool = False
    host_started_at_ms: int | None = None
    empty_in_ms: int | None = None


class ShortageReport(msgspec.Struct, frozen=True, array_like=True):
    """Hosts that a pool lacks for tasks that fit on none of its hosts.

    Each needs at least ``resources`` and, unless it is "", the label.  ``is_lasting`` tells
    whether the tasks are lasting.
    """

    count: int
    resources: tuple[int, int, int]
    label: str = ""
    is_lasting: bool = False


class PoolReport(msgspec.Struct, frozen=True, array_like=True):
    """The status report of a pool: the resources that it needs, and its hosts.

    Resources are thousandths of a core, MB and accelerators.  ``fetch_resources`` are those to
    fetch hosts for, and ``keep_resources`` those to keep hosts for.  ``urgent_resources`` are the
    latter without jobs that can no longer be on time, None from a process of an older version.
    ``lasting_resources`` is the part that lasting tasks use.  At least ``hosts_min`` hosts are
    needed for tasks that may not share a host.  ``separate_host_count`` hosts without lasting
    tasks are needed by tasks that end.  ``share_state`` are the shares in force after the request
    was processed, and ``workspaces`` the usage of those that the steward must know about.
    ``work`` is None from a process of an older version, and where hosts are not allotted by it.
    ``made_at`` is when the report was made, None from a process of an older version.
    """

    is_owner: bool
    fetch_resources: tuple[int, int, int] = (0, 0, 0)
    keep_resources: tuple[int, int, int] = (0, 0, 0)
    hosts: tuple[HostStatus, ...] = ()
    hosts_min: int = 0
    lasting_resources: tuple[int, int, int] = (0, 0, 0)
    separate_host_count: int = 0
    shortages: tuple[ShortageReport, ...] = ()
    urgent_resources: tuple[int, int, int] | None = None
    share_state: ShareState | None = None
    workspaces: tuple[WorkspaceUsage, ...] = ()
    work: PoolWorkReport | None = None
    made_at: ReportTime | None = None
