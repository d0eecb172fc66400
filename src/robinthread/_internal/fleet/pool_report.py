"""What a pool's owner tells the steward."""

import msgspec


class FleetQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Ask a pool's owner how it stands; it is to empty the machines in ``vacate``."""

    pool: str
    vacate: tuple[str, ...] = ()
    expects_hosts: bool = False


class HostStanding(msgspec.Struct, frozen=True, array_like=True):
    """One host of a pool.

    ``is_usable`` tells whether it answers and takes work, or would if it were
    not to be emptied.  ``is_vacating`` confirms that it gets no new work.
    """

    machine: str
    host_id: str
    is_usable: bool
    is_vacating: bool
    run_count: int
    lasting_count: int


class PoolReport(msgspec.Struct, frozen=True, array_like=True):
    """How a pool stands: the room to fetch and to keep hosts for, and its hosts.

    Rooms are thousandths of a core, MB and accelerators.  ``hosts_min`` hosts are
    needed for tasks that may not share one.
    """

    is_owner: bool
    fetch_room: tuple[int, int, int] = (0, 0, 0)
    keep_room: tuple[int, int, int] = (0, 0, 0)
    hosts: tuple[HostStanding, ...] = ()
    hosts_min: int = 0
