"""What a pool's owner tells the steward."""

import msgspec

from robinthread._internal.models.workspace_shares import (
    ShareOrder,
    ShareState,
    WorkspaceUsage,
)


class FleetReportRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a pool's owner how it stands; it is to empty the machines in ``vacate``.

    The hosts in ``ended`` have surely ended.  ``shares`` are those of workspaces' limits that it
    may give out; none where no workspace has a limit.
    """

    pool: str
    vacate: tuple[str, ...] = ()
    expects_hosts: bool = False
    ended: tuple[str, ...] = ()
    shares: ShareOrder | None = None


class HostStatus(msgspec.Struct, frozen=True, array_like=True):
    """One host of a pool.

    ``is_usable`` tells whether it answers and takes work, or would if it were
    not to be emptied.  ``is_vacating`` confirms that it gets no new work.
    ``is_needed`` tells that tasks wait for it which do not fit on every host.
    ``is_awaited`` tells that its owner has not heard it yet, and expects to.
    ``host_started_at_ms``
    tells which life of the host it is, where that is known.
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


class ShortageReport(msgspec.Struct, frozen=True, array_like=True):
    """Hosts that a pool lacks for tasks that fit on none that it has.

    They need at least ``resources`` and, unless it is "", the label.  ``is_lasting`` tells
    whether the tasks last or end.
    """

    count: int
    resources: tuple[int, int, int]
    label: str = ""
    is_lasting: bool = False


class PoolReport(msgspec.Struct, frozen=True, array_like=True):
    """How a pool stands: the room to fetch and to keep hosts for, and its hosts.

    Rooms are thousandths of a core, MB and accelerators.  ``hosts_min`` hosts are
    needed for tasks that may not share one.  ``lasting_resources`` is the part of the room that
    lasting tasks take.  ``separate_host_count`` hosts that carry none are needed by tasks that end.
    ``urgent_resources`` is the room to keep without jobs that can no longer be on time; an older
    process does not tell.  ``share_state`` are the shares in force once the question was taken
    in, and ``workspaces`` those whose use the steward must know.
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
